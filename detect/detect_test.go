package detect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/detect"
)

const (
	interval = 500 * time.Millisecond
	watchers = 3
	lifetime = 10 * time.Minute
	step     = 50 * time.Millisecond
)

var epoch = time.Unix(0, 0)

func TestAdaptiveFollowsJitter(t *testing.T) {
	steady := &detect.Adaptive{Interval: interval, Missed: 2, Max: 5 * time.Second}
	shaky := &detect.Adaptive{Interval: interval, Missed: 2, Max: 5 * time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * interval)
		steady.Heard(at)
		shaky.Heard(at.Add(time.Duration(rng.Int64N(int64(interval / 2)))))
	}
	assert.Assert(t, steady.Timeout() < shaky.Timeout())
	assert.Assert(t, shaky.Timeout() <= 5*time.Second)
}

func TestUnheardIsSuspected(t *testing.T) {
	for _, d := range []detect.Detector{
		&detect.Lease{Limit: 2 * time.Second},
		&detect.Adaptive{Interval: interval, Missed: 2, Max: 5 * time.Second},
		&detect.Reputation{Interval: interval},
	} {
		now := epoch
		for range 100 {
			now = now.Add(interval)
			d.Heard(now)
		}
		assert.Assert(t, !d.Suspected(now.Add(interval)), "%T", d)
		assert.Assert(t, d.Suspected(now.Add(10*time.Second)), "%T", d)
		now = now.Add(20 * time.Second)
		for range 10 {
			now = now.Add(interval)
			d.Heard(now)
		}
		assert.Assert(t, !d.Suspected(now), "%T came back", d)
	}
}

// network is one way that heartbeats are disturbed.
type network struct {
	loss   float64
	jitter time.Duration
	burst  bool // losses come in bursts of four
}

// arrivals returns when the heartbeats of a process that dies at the end of its
// lifetime reach one watcher.
func arrivals(rng *rand.Rand, n network) []time.Time {
	var out []time.Time
	lost := 0
	for at := epoch; at.Before(epoch.Add(lifetime)); at = at.Add(interval) {
		if lost == 0 && n.burst && rng.Float64() < n.loss/4 {
			lost = 4
		}
		drop := lost > 0 || (!n.burst && rng.Float64() < n.loss)
		lost = max(lost-1, 0)
		if drop {
			continue
		}
		late := time.Duration(0)
		if n.jitter > 0 {
			late = time.Duration(rng.ExpFloat64() * float64(n.jitter))
		}
		out = append(out, at.Add(late))
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// watch runs three watchers of one process until all have suspected it for
// good. It returns the share of its life that it was suspected, the mistakes an
// hour and the slowest detection.
func watch(rng *rand.Rand, n network, make func() detect.Detector, gossip bool) (share, mistakes float64, slowest time.Duration) {
	var ds []detect.Detector
	var heard [][]time.Time
	for range watchers {
		ds, heard = append(ds, make()), append(heard, arrivals(rng, n))
	}
	wrong, steps, suspected := 0, 0, 0
	was := [watchers]bool{}
	detected := [watchers]time.Time{}
	dead := epoch.Add(lifetime)
	for now := epoch.Add(step); now.Before(dead.Add(time.Minute)); now = now.Add(step) {
		for i, d := range ds {
			for len(heard[i]) > 0 && !heard[i][0].After(now) {
				d.Heard(heard[i][0])
				heard[i] = heard[i][1:]
			}
		}
		if gossip && now.Sub(epoch)%interval == 0 {
			exchange(now, ds)
		}
		for i, d := range ds {
			s := d.Suspected(now)
			if now.Before(dead) && now.Sub(epoch) > time.Minute {
				steps++
				if s {
					suspected++
				}
				if s && !was[i] {
					wrong++
				}
			}
			if !s {
				detected[i] = time.Time{}
			} else if detected[i].IsZero() {
				detected[i] = now
			}
			was[i] = s
		}
	}
	for _, at := range detected {
		slowest = max(slowest, at.Sub(dead))
	}
	return float64(suspected) / float64(steps), float64(wrong) / watchers * float64(time.Hour) / float64(lifetime-time.Minute), slowest
}

func exchange(now time.Time, ds []detect.Detector) {
	for i, d := range ds {
		r, ok := d.(*detect.Reputation)
		if !ok {
			return
		}
		o := r.Opinion(now)
		for j, other := range ds {
			if i != j {
				other.(*detect.Reputation).Told(now, o)
			}
		}
	}
}

// TestCompare holds each detector to the time in which a dead process must be
// found; it prints the table of docs/MEASURES.md with -v.
func TestCompare(t *testing.T) {
	kinds := []struct {
		name   string
		make   func() detect.Detector
		gossip bool
	}{
		{"lease 2 s", func() detect.Detector { return &detect.Lease{Limit: 2 * time.Second} }, false},
		{"adaptive", func() detect.Detector {
			return &detect.Adaptive{Interval: interval, Missed: 2, Max: 5 * time.Second}
		}, false},
		{"reputation, own", func() detect.Detector { return &detect.Reputation{Interval: interval} }, false},
		{"reputation, shared", func() detect.Detector { return &detect.Reputation{Interval: interval} }, true},
		{"reputation, shared, threshold 500", func() detect.Detector {
			return &detect.Reputation{Interval: interval, Threshold: 500}
		}, true},
	}
	networks := []network{{}, {loss: 0.05}, {loss: 0.2}, {loss: 0.05, burst: true}, {jitter: 100 * time.Millisecond}, {loss: 0.1, jitter: 250 * time.Millisecond}}
	for _, n := range networks {
		for _, k := range kinds {
			rng := rand.New(rand.NewPCG(7, 7))
			var share, wrong float64
			var slow time.Duration
			const rounds = 10
			for range rounds {
				p, m, s := watch(rng, n, k.make, k.gossip)
				share += p / rounds
				wrong += m / rounds
				slow = max(slow, s)
			}
			t.Log(fmt.Sprintf("| loss %.2f burst %v jitter %s | %s | %.3f %% | %.1f | %s |", n.loss, n.burst, n.jitter, k.name, 100*share, wrong, slow))
			assert.Assert(t, slow <= 8*time.Second, "%s on %+v took %s", k.name, n, slow)
		}
	}
}

package plan

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is one request or job to send.
type Arrival struct {
	// At is the intended send time, counted from the start of the run.
	At time.Duration
	// Phase is the index of the plan's phase.
	Phase int
	ID    string
	Kind  *Kind
	// RunTimes are the true run times of the tasks, one for a request.
	RunTimes []time.Duration
	// RunTime and Size are declared, 0 for nothing.
	RunTime time.Duration
	Size    int64
}

// Ideal returns the run time of the longest task.
func (a Arrival) Ideal() time.Duration {
	var d time.Duration
	for _, t := range a.RunTimes {
		d = max(d, t)
	}
	return d
}

// Source yields the arrivals of a plan in order of time. Equal plans yield
// equal arrivals.
type Source struct {
	plan  Plan
	run   string
	rand  *rand.Rand
	phase int
	begin time.Duration   // of the phase
	next  []time.Duration // by kind
	sent  uint64
}

// NewSource returns the source of a checked plan. The name of the run starts
// all IDs, so that runs of one plan don't share keys.
func NewSource(p Plan, run string) *Source {
	s := &Source{plan: p, run: run, rand: rand.New(rand.NewPCG(p.Seed, 2)), next: make([]time.Duration, len(p.Kinds))}
	s.enter(0, 0)
	return s
}

func (s *Source) enter(phase int, begin time.Duration) {
	s.phase, s.begin = phase, begin
	if phase < len(s.plan.Phases) {
		for i := range s.next {
			s.next[i] = begin + s.gap(i)
		}
	}
}

// gap draws the time between two arrivals of kind i.
func (s *Source) gap(i int) time.Duration {
	r := s.plan.rate(s.plan.Phases[s.phase], i)
	if r <= 0 {
		return maxLength * 2
	}
	return time.Duration(min(s.rand.ExpFloat64()/r, 2*maxLength.Seconds()) * float64(time.Second))
}

// Next returns the next arrival, false at the end of the plan.
func (s *Source) Next() (Arrival, bool) {
	for s.phase < len(s.plan.Phases) {
		ph := s.plan.Phases[s.phase]
		first := 0
		for i := range s.next {
			if s.next[i] < s.next[first] {
				first = i
			}
		}
		at, end := s.next[first], s.begin+ph.Length.Std()
		if at >= end {
			s.enter(s.phase+1, end)
			continue
		}
		s.next[first] += s.gap(first)
		if every := ph.BurstEvery.Std(); every > 0 {
			at = s.begin + (at-s.begin)/every*every
		}
		return s.arrival(at, &s.plan.Kinds[first]), true
	}
	return Arrival{}, false
}

func (s *Source) arrival(at time.Duration, k *Kind) Arrival {
	s.sent++
	a := Arrival{At: at, Phase: s.phase, Kind: k, ID: s.run + "-" + strconv.FormatUint(s.sent, 10)}
	for range max(1, k.Tasks) {
		a.RunTimes = append(a.RunTimes, s.draw(k.RunTime))
	}
	if k.Declared > 0 {
		a.RunTime = time.Duration(float64(a.RunTimes[0]) * s.off(k.Declared))
		a.Size = int64(float64(k.AnswerBytes) * s.off(k.Declared))
	}
	return a
}

// off draws a factor between 1/f and f, uniform in its logarithm.
func (s *Source) off(f float64) float64 {
	return math.Pow(f, 2*s.rand.Float64()-1)
}

func (s *Source) draw(r RunTime) time.Duration {
	lo, hi := r.Min, r.Max
	if s.rand.Float64() < r.TailShare {
		lo, hi = r.Max, r.Tail
	}
	return time.Duration(float64(lo) + s.rand.Float64()*float64(hi-lo))
}

package plan

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Arrival is one request or job of the plan's arrival process.
type Arrival struct {
	// At is the intended send time, counted from the start of the run.
	At time.Duration
	// Phase is the index of the plan's phase.
	Phase int
	ID    string
	Kind  *Kind
	// RunTimes are the true run times of the tasks, one for a request.
	RunTimes []time.Duration
	// RunTime and Size are what the caller declares, 0 when it declares nothing.
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

// Source generates the arrivals of a plan in order of time. It is deterministic:
// equal plans yield equal arrivals.
type Source struct {
	plan        Plan
	run         string
	rand        *rand.Rand
	phase       int
	phaseStart  time.Duration   // since the start of the run
	nextArrival []time.Duration // by kind, since the start of the run
	sent        uint64
}

// NewSource returns the source of a checked plan. All IDs begin with the name of
// the run, so that runs of one plan don't share idempotency or job keys.
func NewSource(p Plan, run string) *Source {
	s := &Source{plan: p, run: run, rand: rand.New(rand.NewPCG(p.Seed, 2)), nextArrival: make([]time.Duration, len(p.Kinds))}
	s.startPhase(0, 0)
	return s
}

func (s *Source) startPhase(phase int, begin time.Duration) {
	s.phase, s.phaseStart = phase, begin
	if phase < len(s.plan.Phases) {
		for i := range s.nextArrival {
			s.nextArrival[i] = begin + s.drawInterval(i)
		}
	}
}

// drawInterval draws the time between two arrivals of kind i in the current
// phase, exponentially distributed.
func (s *Source) drawInterval(i int) time.Duration {
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
		earliest := 0
		for i := range s.nextArrival {
			if s.nextArrival[i] < s.nextArrival[earliest] {
				earliest = i
			}
		}
		at, end := s.nextArrival[earliest], s.phaseStart+ph.Length.Std()
		if at >= end {
			s.startPhase(s.phase+1, end)
			continue
		}
		s.nextArrival[earliest] += s.drawInterval(earliest)
		if every := ph.BurstEvery.Std(); every > 0 {
			at = s.phaseStart + (at-s.phaseStart)/every*every
		}
		return s.arrival(at, &s.plan.Kinds[earliest]), true
	}
	return Arrival{}, false
}

func (s *Source) arrival(at time.Duration, k *Kind) Arrival {
	s.sent++
	a := Arrival{At: at, Phase: s.phase, Kind: k, ID: s.run + "-" + strconv.FormatUint(s.sent, 10)}
	for range max(1, k.Tasks) {
		a.RunTimes = append(a.RunTimes, s.drawRunTime(k.RunTime))
	}
	if k.Declared > 0 {
		a.RunTime = time.Duration(float64(a.RunTimes[0]) * s.drawFactor(k.Declared))
		a.Size = int64(float64(k.AnswerBytes) * s.drawFactor(k.Declared))
	}
	return a
}

// drawFactor draws a factor between 1/f and f, log-uniformly distributed.
func (s *Source) drawFactor(f float64) float64 {
	return math.Pow(f, 2*s.rand.Float64()-1)
}

func (s *Source) drawRunTime(r RunTime) time.Duration {
	lo, hi := r.Min, r.Max
	if s.rand.Float64() < r.TailShare {
		lo, hi = r.Max, r.Tail
	}
	return time.Duration(float64(lo) + s.rand.Float64()*float64(hi-lo))
}

// Package plan describes load tests (kinds of work, phases and their load) and
// generates their arrivals.
package plan

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
)

// Defaults and limits of a plan.
const (
	DefaultClients = 4096
	maxClients     = 1 << 16
	maxLength      = time.Hour
	maxRate        = 1e6 // requests a second
)

// Plan is a load test.
type Plan struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Slots is the number of slots of all targets; a load of 1 keeps all busy.
	Slots int `json:"slots"`
	// NetworkTime is the minimum network round trip of a request.
	NetworkTime units.Duration `json:"networkTime"`
	// Clients is the maximum number of requests in flight.
	Clients int `json:"clients,omitempty"`
	// Load scales the loads of all phases, 0 for 1.
	Load   float64 `json:"load,omitempty"`
	Kinds  []Kind  `json:"kinds"`
	Phases []Phase `json:"phases"`
}

// Kind is one kind of work.
type Kind struct {
	Name string `json:"name"`
	// Share is the weight of the kind among the arrivals that make up a phase's Load.
	Share float64 `json:"share,omitempty"`
	// Rate is a fixed number of arrivals a second, as an alternative to Share.
	Rate    float64 `json:"rate,omitempty"`
	RunTime RunTime `json:"runTime"`
	// Declared is the maximum factor, up or down, by which declared run times
	// and sizes differ from the true ones; 0 declares nothing, 1 the true values.
	Declared    float64        `json:"declared,omitempty"`
	AnswerBytes int            `json:"answerBytes,omitempty"`
	Urgency     int            `json:"urgency,omitempty"`
	Labels      model.Labels   `json:"labels,omitempty"`
	Selector    string         `json:"selector,omitempty"`
	Deadline    units.Duration `json:"deadline,omitempty"`
	// Claim marks requests as not idempotent, each with its own key.
	Claim bool `json:"claim,omitempty"`
	// Tasks is the number of tasks of each arrival, a job; 0 for a request.
	Tasks int `json:"tasks,omitempty"`
}

// RunTime is a distribution of run times: uniform from Min to Max, except that
// TailShare of the draws are uniform from Max to Tail.
type RunTime struct {
	Min       units.Duration `json:"min"`
	Max       units.Duration `json:"max"`
	Tail      units.Duration `json:"tail,omitempty"`
	TailShare float64        `json:"tailShare,omitempty"`
}

// Mean returns the mean of the distribution.
func (r RunTime) Mean() time.Duration {
	body := float64(r.Min+r.Max) / 2
	tail := float64(r.Max+r.Tail) / 2
	return time.Duration(body*(1-r.TailShare) + tail*r.TailShare)
}

// Phase is a period with constant arrival rates.
type Phase struct {
	Name   string         `json:"name"`
	Length units.Duration `json:"length"`
	// Load is the offered load of all kinds with a Share, relative to the
	// capacity of all slots.
	Load float64 `json:"load"`
	// Flood is additional load of single kinds, by name, on the same scale as Load.
	Flood map[string]float64 `json:"flood,omitempty"`
	// BurstEvery groups arrivals into bursts at this interval, 0 for a Poisson process.
	BurstEvery units.Duration `json:"burstEvery,omitempty"`
}

// Read reads and checks a plan in JSON. The error is a trace.BadParameter
// that names the field.
func Read(r io.Reader) (Plan, error) {
	var p Plan
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Plan{}, trace.BadParameter("plan: %v", err)
	}
	if p.Clients == 0 {
		p.Clients = DefaultClients
	}
	if p.Load == 0 {
		p.Load = 1
	}
	return p, p.Check()
}

// WithLoad returns a copy of p with the load factor.
func (p Plan) WithLoad(f float64) Plan {
	p.Load = f
	return p
}

// Check returns a trace.BadParameter that names the first invalid field.
func (p Plan) Check() error {
	switch {
	case p.Slots < 1:
		return trace.BadParameter("slots %d is less than 1", p.Slots)
	case p.Clients < 1 || p.Clients > maxClients:
		return trace.BadParameter("clients %d is not within 1 to %d", p.Clients, maxClients)
	case p.Load <= 0:
		return trace.BadParameter("load %v is not positive", p.Load)
	case len(p.Kinds) == 0 || len(p.Phases) == 0:
		return trace.BadParameter("plan has no kinds or no phases")
	}
	var names []string
	for _, k := range p.Kinds {
		if slices.Contains(names, k.Name) {
			return trace.BadParameter("kind %q occurs twice", k.Name)
		}
		names = append(names, k.Name)
		if err := k.check(); err != nil {
			return trace.BadParameter("kind %q: %v", k.Name, err)
		}
	}
	for _, ph := range p.Phases {
		if err := p.checkPhase(ph, names); err != nil {
			return trace.BadParameter("phase %q: %v", ph.Name, err)
		}
	}
	return nil
}

func (p Plan) checkPhase(ph Phase, kinds []string) error {
	if ph.Length <= 0 || ph.Length.Std() > maxLength {
		return trace.BadParameter("length %v is not within 0 to %v", ph.Length.Std(), maxLength)
	}
	if ph.Load < 0 {
		return trace.BadParameter("load %v is negative", ph.Load)
	}
	for name, f := range ph.Flood {
		if !slices.Contains(kinds, name) || f < 0 {
			return trace.BadParameter("flood names an unknown kind %q, or its load is negative", name)
		}
	}
	for i := range p.Kinds {
		if r := p.rate(ph, i); r > maxRate {
			return trace.BadParameter("kind %q has rate %v, at most %v is allowed", p.Kinds[i].Name, r, float64(maxRate))
		}
	}
	return nil
}

func (k Kind) check() error {
	switch {
	case k.Name == "":
		return trace.BadParameter("name is empty")
	case k.Share < 0 || k.Rate < 0 || (k.Share > 0 && k.Rate > 0):
		return trace.BadParameter("share and rate must not be negative or both set")
	case k.Declared < 0 || (k.Declared > 0 && k.Declared < 1):
		return trace.BadParameter("declared %v is neither 0 nor at least 1", k.Declared)
	case k.Urgency < 0 || k.Urgency > model.MaxUrgency:
		return trace.BadParameter("urgency %d is not within 0 to %d", k.Urgency, model.MaxUrgency)
	case k.Tasks < 0 || k.Tasks > model.MaxJobTasks:
		return trace.BadParameter("tasks %d is not within 0 to %d", k.Tasks, model.MaxJobTasks)
	case k.Tasks > 0 && k.Claim:
		return trace.BadParameter("claim and tasks are both set")
	case k.AnswerBytes < 0 || k.AnswerBytes > model.MaxBody:
		return trace.BadParameter("answerBytes %d is not within 0 to %d", k.AnswerBytes, model.MaxBody)
	}
	if _, err := label.Parse(k.Selector); err != nil {
		return trace.Wrap(err)
	}
	return k.RunTime.check()
}

func (r RunTime) check() error {
	switch {
	case r.Min > r.Max || r.Max == 0:
		return trace.BadParameter("runTime max is zero or less than min")
	case r.TailShare < 0 || r.TailShare > 1:
		return trace.BadParameter("runTime tailShare %v is not within 0 to 1", r.TailShare)
	case r.TailShare > 0 && r.Tail < r.Max:
		return trace.BadParameter("runTime tail is less than max")
	}
	return nil
}

// meanSlotSeconds returns the mean slot time of one arrival over all its tasks, in seconds.
func (k Kind) meanSlotSeconds() float64 {
	return k.RunTime.Mean().Seconds() * float64(max(1, k.Tasks))
}

// rate returns the arrivals a second of kind i in the phase.
func (p Plan) rate(ph Phase, i int) float64 {
	var shares, work float64
	for _, k := range p.Kinds {
		shares += k.Share
		work += k.Share * k.meanSlotSeconds()
	}
	k := p.Kinds[i]
	r := k.Rate
	if k.Share > 0 && shares > 0 {
		r = k.Share * ph.Load * p.Load * float64(p.Slots) / work
	}
	return r + ph.Flood[k.Name]*float64(p.Slots)/k.meanSlotSeconds()
}

// Length returns the length of all phases.
func (p Plan) Length() time.Duration {
	var d time.Duration
	for _, ph := range p.Phases {
		d += ph.Length.Std()
	}
	return d
}

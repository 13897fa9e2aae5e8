package repair

import (
	"cmp"
	"slices"
	"time"

	"cyclamenrelay.example/rlog"
)

const (
	// announcedWithin is the age of its announcement up to which a keeper may become a
	// member. A live keeper announces itself every second, whatever others do, and 2 s
	// after an announcement that was lost, since the call times out after 1 s.
	announcedWithin = 3 * time.Second
	// departedFor is how long the removal of a member is remembered. Its last
	// announcement is listed for less.
	departedFor = time.Minute
)

// Announced is the newest announcement of a keeper.
type Announced struct {
	ID rlog.ID
	// Leaving is set while the keeper shuts down.
	Leaving bool
	// Age is the time since this keeper received the announcement.
	Age time.Duration
	// DataCentre is empty if it is unknown.
	DataCentre string
}

// Decision is what Automatic decides: a Change, a Wait or Settled.
type Decision interface{ decision() }

// Change is a change of one member.
type Change struct{ rlog.ChangeMember }

// Wait says why a change that is due cannot be made now.
type Wait struct{ Reason string }

// Settled means that no change is due.
type Settled struct{}

func (Change) decision()  {}
func (Wait) decision()    {}
func (Settled) decision() {}

// Automatic decides on the members of one group without an operator, at the keeper
// that leads it. It takes members for live by the leader's own contact with them,
// and other keepers by their announcements to the leader.
//
// It keeps an odd number of voters, Limits.Voters at least where there are keepers
// for it, and a learner as a standby. A lost voter is removed before its successor
// votes: the other way round, one loss more would end the quorum meanwhile. It stays
// while there is no successor, so that fewer copies than Limits.Tolerance + 1 never
// make a quorum. With Limits.SpreadVoters it also stays, for the catch-up time, while the
// successor would crowd the voters in one data centre.
type Automatic struct {
	limits    Limits
	departed  map[rlog.ID]time.Time
	placement placement
}

// NewAutomatic returns an Automatic for one group of a deployment with the limits.
func NewAutomatic(l Limits) *Automatic {
	return &Automatic{limits: l, departed: map[rlog.ID]time.Time{}, placement: placement{spread: l.SpreadVoters, dataCentres: map[string]string{}}}
}

// Next returns the next decision. st is the status of the leader, keepers are the
// announcements that it has received itself.
func (a *Automatic) Next(now time.Time, st rlog.Status, keepers []Announced) Decision {
	a.placement.learn(st.Members, keepers)
	v := newView(a.limits, st, keepers)
	v.placement = a.placement
	for _, step := range []func() (Decision, bool){
		v.dropLearner, v.finishReplacement, v.removeLost, v.promote, v.removeLeaving,
		func() (Decision, bool) { return a.admit(now, v, keepers) },
	} {
		d, ok := step()
		if !ok {
			continue
		}
		if c, changes := d.(Change); changes && c.Remove {
			a.departed[c.Member.ID] = now
		}
		return d
	}
	if v.wait != "" {
		return Wait{v.wait}
	}
	return Settled{}
}

// admit adds an announced keeper as a learner. One that was removed must have
// announced itself since.
func (a *Automatic) admit(now time.Time, v *view, keepers []Announced) (Decision, bool) {
	for id, at := range a.departed {
		if now.Sub(at) > departedFor {
			delete(a.departed, id)
		}
	}
	members := 0
	for _, m := range v.members {
		if !m.lost {
			members++
		}
	}
	if members >= v.limits.maxVoters()+maxStandbys {
		return nil, false
	}
	for _, k := range slices.SortedFunc(slices.Values(keepers), func(x, y Announced) int { return cmp.Compare(x.ID.Name, y.ID.Name) }) {
		at, left := a.departed[k.ID]
		if k.Leaving || k.Age > announcedWithin || left && !now.Add(-k.Age).After(at) || v.find(k.ID) != nil {
			continue
		}
		return Change{rlog.ChangeMember{Member: rlog.Member{ID: k.ID}}}, true
	}
	return nil, false
}

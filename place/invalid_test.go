package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/wire"

	"gotest.tools/v3/assert"
)

// TestUnreachableTargetIsAvoided checks that work that an agent could not pass on to
// its target is started at another target, and that the first one gets no more
// work until it is announced again.
func TestUnreachableTargetIsAvoided(t *testing.T) {
	g := newRig(t, kindRules(t, "a"))
	g.announce(0, 8, nil)
	g.announce(1, 8, nil)
	for i := range 8 {
		id := fmt.Sprint("r", i)
		g.arrive(id, model.Labels{"kind": "a"}, "")
		for agent := g.unanswered[id+"agent0"]; agent != ""; agent = "" {
			delete(g.unanswered, id+agent)
			g.starts[id]--
			g.step(place.Answer{Agent: agent, Result: wire.Result{ID: id, NotRun: &model.NotRun{Code: model.CodeNoTarget}}})
		}
		assert.Equal(t, g.unanswered[id+"agent1"], "agent1")
		assert.Assert(t, g.outcomes[id] == nil)
	}
}

// TestInvalidMessages passes messages with values that no correct peer sends. Each
// request must still get one outcome.
func TestInvalidMessages(t *testing.T) {
	const steps = 20_000
	for seed := range uint64(5) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		g := newRig(t, kindRules(t, "a", "b"))
		numbers := []int{0, 1, -1, 8, 4096, math.MaxInt, math.MinInt, math.MaxInt32}
		number := func() int { return numbers[rnd.IntN(len(numbers))] }
		agent := func() string { return fmt.Sprint("agent", rnd.IntN(4)) }
		arrived := 0
		id := func() string { return fmt.Sprint("r", rnd.IntN(arrived+2)) }
		for range steps {
			g.now = g.now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
			switch rnd.IntN(7) {
			case 0, 1:
				g.step(place.Arrive{Task: model.Task{
					ID: fmt.Sprint("r", arrived), Labels: model.Labels{"kind": fmt.Sprint(rnd.IntN(5)), "team": "x"},
					Urgency: number(), TimeLeft: time.Duration(number()), RunTime: time.Duration(number()), Idempotent: rnd.IntN(2) == 0,
				}})
				arrived++
			case 2:
				a := wire.Announce{Self: wire.Node{Name: agent(), Incarnation: uint64(number())}, Free: number(), Seq: uint64(number())}
				if rnd.IntN(4) > 0 {
					a.Target = &model.Target{Name: "t", DataCentre: "a", Slots: number(), MaxConns: number()}
				}
				g.step(place.Announced{Announce: a})
			case 3:
				g.step(place.Granted{Agent: agent(), Grant: wire.Grant{ID: uint64(number()), Share: fmt.Sprint(rnd.IntN(9)), TimeLeft: time.Duration(number())}})
			case 4:
				r := wire.Result{ID: id(), Free: number()}
				if rnd.IntN(2) == 0 {
					r.Complete = &model.Complete{Status: number()}
				}
				if rnd.IntN(2) == 0 {
					r.Failed = &model.Failed{MayHaveRun: true}
				}
				g.step(place.Answer{Agent: agent(), Result: r})
			case 5:
				g.step(place.Unanswered{Agent: agent(), ID: id(), Unsent: false})
			case 6:
				g.step(place.PeerUse{Use: wire.TeamUse{Entry: fmt.Sprint(rnd.IntN(4)), Teams: map[string]int{"x": number(), "y": number()}}})
			}
		}
		for range 100 {
			g.wait(10 * time.Second)
		}
		all, queued := g.core.Pending()
		assert.Equal(t, all, 0)
		assert.Equal(t, queued, 0)
		assert.Equal(t, len(g.outcomes), arrived)
	}
}

package system_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/state"
)

// evacuationLimit is the time within which an acknowledged evacuation must take effect.
const evacuationLimit = 5 * time.Second

// TestEvacuation evacuates a data centre by relctl while its agent is frozen, then restarts the
// agent, an entry and all keepers. Guards against a start there later than the limit, an
// evacuation that a restart forgets, and a target that gets no work after the end.
func TestEvacuation(t *testing.T) {
	d := deploy(t, smallSpec())
	dataCentre := d.spec.dataCentre(0)
	// The entry prefers targets of its own data centre, which is the evacuated one.
	stop := d.repeatInBackground(func() { d.request(1, "match", `{"runTime":"20ms"}`, nil) })
	defer stop()
	began := time.Now()
	evacuated := func() []string {
		var out []string
		for i := range d.spec.targets {
			if d.spec.dataCentre(i) == dataCentre {
				out = append(out, fmt.Sprintf("target-%d", i+1))
			}
		}
		return out
	}()
	startsAfter := func(at time.Time) (n int) {
		for _, target := range evacuated {
			n += len(d.startedAfter(target, at))
		}
		return n
	}
	started := func(poll.LogT) poll.Result {
		if startsAfter(began) > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing starts in %s", dataCentre)
	}
	poll.WaitOn(t, started, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
	d.signal("agent-1", syscall.SIGSTOP)
	d.mustRelctl(1, "evacuate", dataCentre)
	acknowledged := time.Now()
	time.Sleep(2 * time.Second)
	d.signal("agent-1", syscall.SIGCONT)
	time.Sleep(evacuationLimit)
	for _, name := range []string{"agent-1", "entry-1"} {
		d.kill(name)
		d.restart(name)
	}
	time.Sleep(evacuationLimit)
	for i := range d.spec.keepers {
		d.kill(nodeName("keeper", i))
	}
	for i := range d.spec.keepers {
		d.restart(nodeName("keeper", i))
	}
	d.waitReady()
	time.Sleep(evacuationLimit)
	assert.Equal(t, startsAfter(acknowledged.Add(evacuationLimit)), 0)
	s := readJSON[admin.Status](d, 1, "status")
	assert.Assert(t, len(s.Evacuations) == 1 && s.Evacuations[0].DataCentre == dataCentre && s.Evacuations[0].Operator == "operator", "%+v", s.Evacuations)

	began = time.Now()
	d.mustRelctl(1, "evacuate", "--end", dataCentre)
	poll.WaitOn(t, started, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
}

// evacuationOperator sends orders as the users' operators do.
type evacuationOperator struct {
	d        *deployment
	controls []string
	r        *rand.Rand
}

// send sends an order to one keeper, and returns the status, 0 without an answer.
func (o *evacuationOperator) send(keeper int, dataCentre, what string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + o.controls[keeper] + "/api/evacuations/" + dataCentre + "/" + what
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	assert.NilError(o.d.t, err)
	return sendRequest(req).status
}

// order sends an order until it is acknowledged, each time to another keeper, and returns how
// long that took.
func (o *evacuationOperator) order(what string) time.Duration {
	o.d.t.Helper()
	began, keeper := time.Now(), o.r.IntN(len(o.controls))
	poll.WaitOn(o.d.t, func(poll.LogT) poll.Result {
		status := o.send(keeper, "dc-1", what)
		keeper = (keeper + 1) % len(o.controls)
		switch {
		case status == http.StatusOK:
			return poll.Success()
		case status != 0 && status != http.StatusServiceUnavailable:
			return poll.Error(fmt.Errorf("the order was rejected with %d", status))
		}
		return poll.Continue("the last answer has status %d", status)
	}, poll.WithTimeout(startLimit), poll.WithDelay(50*time.Millisecond))
	return time.Since(began)
}

// TestEvacuationOrdersAtKeepers sends orders to keepers behind the users' platform. Guards
// against orders that are rejected, lost or undone when the leader is killed with an order in
// flight, when a paused keeper gets on with an order after the opposite one, and when all
// keepers are killed.
func TestEvacuationOrdersAtKeepers(t *testing.T) {
	s := deploymentSpec{dataCentres: []string{"dc-1", "dc-2", "dc-3"}, keepers: 3}
	e := &evacuationOperator{r: rand.New(rand.NewPCG(11, 1))}
	s.editSettings = func(_ string, settings map[string]any) {
		control := freePorts(t, 1)[0]
		e.controls = append(e.controls, control)
		settings["platform"] = map[string]any{"enabled": true, "control": control, "dataCentres": s.dataCentres}
	}
	d := deploy(t, s)
	e.d = d
	o := d.operator()
	checkActive := func(want bool) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), startLimit)
		defer cancel()
		b, err := o.client.Query(ctx, leader.ConfigGroup, state.ConfigQueries.MustEncode(state.GetItem{Key: evac.Key("dc-1")}))
		assert.NilError(t, err)
		a, err := state.ConfigAnswers.Decode(b)
		assert.NilError(t, err)
		assert.Equal(t, evac.Active(a.(state.Found).Item), want)
	}
	e.order("end")
	checkActive(false)
	assert.Equal(t, e.send(1, "dc-9", "start"), http.StatusNotFound)
	for i, what := range []string{"start", "end", "start", "end"} {
		name := o.waitLeader(0)
		killed := make(chan struct{})
		go func() {
			defer close(killed)
			time.Sleep(time.Duration(i) * time.Millisecond)
			d.kill(name)
		}()
		t.Logf("%s with %s killed: acknowledged after %v", what, name, e.order(what))
		<-killed
		d.restart(name)
		checkActive(what == "start")
	}

	paused := 0
	if o.waitLeader(0) == nodeName("keeper", 0) {
		paused = 1
	}
	d.signal(nodeName("keeper", paused), syscall.SIGSTOP)
	assert.Equal(t, e.send(paused, "dc-1", "start"), 0)
	other := &evacuationOperator{d: d, controls: append([]string{}, e.controls[2]), r: e.r}
	other.order("start")
	other.order("end")
	d.signal(nodeName("keeper", paused), syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	checkActive(false)

	e.order("start")
	for i := range s.keepers {
		d.kill(nodeName("keeper", i))
	}
	for i := range s.keepers {
		d.restart(nodeName("keeper", i))
	}
	checkActive(true)
	e.order("start")
	checkActive(true)
}

package ltest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/layout"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
)

// The faults that an event can inject or end.
const (
	ActionFail   = "fail"   // fail every task
	ActionHeal   = "heal"   // end fail, and every cut of the deployment
	ActionKill   = "kill"   // kill the target and its agent
	ActionFreeze = "freeze" // suspend both with SIGSTOP
	ActionThaw   = "thaw"   // resume both with SIGCONT
	ActionCut    = "cut"    // drop everything between the agent and the other nodes
)

var actions = []string{ActionFail, ActionHeal, ActionKill, ActionFreeze, ActionThaw, ActionCut}

// Event is a fault of the targets First to Last, counted from 1, at a time after
// the start of the load.
type Event struct {
	At     units.Duration `json:"at"`
	Action string         `json:"action"`
	First  int            `json:"first"`
	Last   int            `json:"last"`
}

// ParseEvent reads "5s:kill:1-3". The error is a trace.BadParameter.
func ParseEvent(s string) (Event, error) {
	bad := trace.BadParameter("event %q does not have the form 5s:kill:1-3 with an action of %s", s, strings.Join(actions, ", "))
	parts := strings.Split(s, ":")
	if len(parts) != 3 || !slices.Contains(actions, parts[1]) {
		return Event{}, bad
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil || at < 0 {
		return Event{}, bad
	}
	low, high, isRange := strings.Cut(parts[2], "-")
	if !isRange {
		high = low
	}
	first, err := strconv.Atoi(low)
	if err != nil || first < 1 {
		return Event{}, bad
	}
	last, err := strconv.Atoi(high)
	if err != nil || last < first {
		return Event{}, bad
	}
	return Event{At: units.Duration(at), Action: parts[1], First: first, Last: last}, nil
}

// injectEvents applies the events at their times; it returns early when ctx ends.
func (o Options) injectEvents(ctx context.Context, d *launch.Deployment, began time.Time) error {
	for _, e := range o.Events {
		select {
		case <-o.Clock.After(began.Add(e.At.Std()).Sub(o.Clock.Now())):
		case <-ctx.Done():
			return nil
		}
		for i, t := range d.Targets() {
			if i+1 < e.First || i+1 > e.Last {
				continue
			}
			if err := applyAction(ctx, d, e.Action, t); err != nil {
				return trace.Wrap(err, "%s of %s", e.Action, t.Name)
			}
		}
	}
	return nil
}

func applyAction(ctx context.Context, d *launch.Deployment, action string, t layout.Target) error {
	switch action {
	case ActionFail:
		return setMode(ctx, t, fake.Mode{Fail: true})
	case ActionHeal:
		if err := d.RestoreLinks(); err != nil {
			return err
		}
		return setMode(ctx, t, fake.Mode{})
	case ActionCut:
		return d.Isolate(d.AgentOf(t))
	case ActionKill:
		return signalTargetAndAgent(d, t, syscall.SIGKILL)
	case ActionFreeze:
		return signalTargetAndAgent(d, t, syscall.SIGSTOP)
	}
	return signalTargetAndAgent(d, t, syscall.SIGCONT)
}

func signalTargetAndAgent(d *launch.Deployment, t layout.Target, s syscall.Signal) error {
	if err := d.Signal(t.Name, s); err != nil {
		return err
	}
	return d.Signal(d.AgentOf(t), s)
}

func setMode(ctx context.Context, t layout.Target, m fake.Mode) error {
	b, err := json.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, t.URL+"/v1/mode", bytes.NewReader(b))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return trace.BadParameter("target answered the mode change with %s", resp.Status)
	}
	return nil
}

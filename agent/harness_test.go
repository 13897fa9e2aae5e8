package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/agent"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/share"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
	"cyclamenrelay.example/worker"
)

const incarnation = 7

// fakePlatform sends the IDs of the tasks that the agent stops to a channel.
type fakePlatform struct {
	worker.Platform
	stopped chan string
}

func (p fakePlatform) Stop(_ context.Context, id string) error {
	p.stopped <- id
	return nil
}

// harness runs an agent in its own kernel, linked to a fake entry that records the
// agent's announcements.
type harness struct {
	t             *testing.T
	entry         *link.Node
	announcements chan wire.Announce
	listen        string
	platform      fakePlatform
	view          *watch.View
	stop          context.CancelFunc
	ended         chan error
}

func identity(t *testing.T, ca *keys.CA, dir, name string, role keys.Role) *keys.Identity {
	path := func(s string) string { return filepath.Join(dir, s) }
	p, err := ca.Issue(name, []keys.Role{role}, time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, p.Write(path(name+".pem"), path(name+".key")))
	id, err := keys.Load(path("ca.pem"), path(name+".pem"), path(name+".key"))
	assert.NilError(t, err)
	return id
}

func newHarness(t *testing.T, url string, slots int) *harness {
	ca, err := keys.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	dir, clock := t.TempDir(), clockwork.NewRealClock()
	assert.NilError(t, ca.Write(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca.key")))
	h := &harness{
		t: t, announcements: make(chan wire.Announce, 1000), ended: make(chan error, 1),
		platform: fakePlatform{worker.New(""), make(chan string, 100)},
	}
	h.entry = link.New(link.Options{
		Address: "127.0.0.1:0", Keys: identity(t, ca, dir, "entry-1", keys.Entry), Log: zap.NewNop(), Clock: clock,
	})
	link.Handle(h.entry.Mux(), func(_ context.Context, _ link.Peer, m wire.Announce) wire.Message {
		h.announcements <- m
		return wire.Announced{}
	}, keys.Agent)
	link.Handle(h.entry.Mux(), func(_ context.Context, _ link.Peer, m wire.FindNodes) wire.Message {
		return member.AnswerNodes(m, []wire.Node{{Name: "entry-1", Address: h.entry.Address(), Roles: []string{string(keys.Entry)}}})
	}, keys.Agent)
	assert.NilError(t, h.entry.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = h.entry.Run(ctx) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.listen = l.Addr().String()
	assert.NilError(t, l.Close())
	k := h.agentKernel(identity(t, ca, dir, "agent-1", keys.Agent), clock)
	var actx context.Context
	actx, h.stop = context.WithCancel(context.Background())
	go func() { h.ended <- k.Run(actx, 10*time.Second) }()
	t.Cleanup(func() {
		h.stop()
		cancel()
		wg.Wait()
	})
	h.announceUntil(url, slots)
	return h
}

func (h *harness) agentKernel(id *keys.Identity, clock clockwork.Clock) *kernel.Kernel {
	h.view = watch.NewView(clock, time.Hour)
	h.view.Apply(wire.ConfigUpdate{}, clock.Now())
	scheduler := share.DefaultSettings(0)
	scheduler.Buffer = 16
	node := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clock})
	self := wire.Node{Name: "agent-1", DataCentre: "dc", Roles: []string{string(keys.Agent)}, Incarnation: incarnation}
	k := kernel.New(zap.NewNop())
	k.Add(member.NewFinder(node, clock, zap.NewNop(), self, []string{h.entry.Address()}))
	k.Add(agent.New(agent.Options{
		Listen: h.listen, TargetLease: time.Minute, Clock: clock, Log: zap.NewNop(), View: h.view,
		Platform: h.platform, Scheduler: scheduler,
	}))
	k.Add(node)
	return k
}

// announce announces the target to the agent once and returns the response status,
// 0 when there is no response.
func (h *harness) announce(url string, slots int) int {
	body := fmt.Sprintf(`{"name":"t1","url":%q,"slots":%d,"connections":%d,"lease":"1m"}`, url, slots, 2*slots)
	req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/v1/target", bytes.NewReader([]byte(body)))
	assert.NilError(h.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// announceUntil announces the target until the agent accepts it, and waits until the
// agent has announced all slots to the entry.
func (h *harness) announceUntil(url string, slots int) {
	for h.announce(url, slots) != http.StatusNoContent {
		time.Sleep(10 * time.Millisecond)
	}
	h.wait(func(m wire.Announce) bool { return m.Target != nil && m.Free == slots })
}

// wait waits until the entry receives an announcement for which ok returns true.
func (h *harness) wait(ok func(wire.Announce) bool) {
	h.t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case m := <-h.announcements:
			if ok(m) {
				return
			}
		case <-limit:
			h.t.Fatal("the entry did not receive the announcement within 20 s")
		}
	}
}

func task(id string) model.Task { return model.Task{ID: id, Body: []byte("{}"), TimeLeft: time.Minute} }

// start sends the task to the agent and returns its outcome.
func (h *harness) start(ctx context.Context, t model.Task) (model.Outcome, error) {
	m, err := h.entry.CallPeer(ctx, "agent-1", wire.Start{Task: t, Incarnation: incarnation})
	if err != nil {
		return nil, err
	}
	return m.(wire.Result).Outcome(), nil
}

// outcome is like start, but fails the test when the call fails.
func (h *harness) outcome(t model.Task) model.Outcome {
	o, err := h.start(h.t.Context(), t)
	assert.NilError(h.t, err)
	return o
}

// tryOutcome is like outcome, but for goroutines other than the test's own: the result
// is nil when the call fails.
func (h *harness) tryOutcome(t model.Task) model.Outcome {
	o, _ := h.start(h.t.Context(), t)
	return o
}

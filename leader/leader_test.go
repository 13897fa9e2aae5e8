package leader_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/wire"
)

// deployment issues certificates for the nodes of a test and starts them.
type deployment struct {
	t      *testing.T
	folder keys.Folder
	ca     *keys.CA
}

func newDeployment(t *testing.T) deployment {
	d := deployment{t: t, folder: keys.Folder(t.TempDir())}
	ca, err := d.folder.NewCA("test", time.Now(), time.Hour)
	assert.NilError(t, err)
	d.ca = ca
	return d
}

func (d deployment) node(name string, role keys.Role, register func(*link.Mux)) *link.Node {
	assert.NilError(d.t, d.folder.Issue(d.ca, name, []keys.Role{role}, time.Now(), time.Hour))
	id, err := keys.Load(d.folder.Cert("ca"), d.folder.Cert(name), d.folder.Key(name))
	assert.NilError(d.t, err)
	n := link.New(link.Options{Address: "127.0.0.1:0", Keys: id, Log: zap.NewNop(), Clock: clockwork.NewRealClock()})
	if register != nil {
		register(n.Mux())
	}
	assert.NilError(d.t, n.Start(nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = n.Run(ctx)
		close(done)
	}()
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

// keeper starts a keeper that answers proposals with what f returns, and returns
// its address.
func (d deployment) keeper(name string, f func() wire.Message) string {
	n := d.node(name, keys.Keeper, func(mx *link.Mux) {
		link.Handle(mx, func(context.Context, link.Peer, wire.Propose) wire.Message { return f() }, keys.Entry)
	})
	return n.Address()
}

func (d deployment) client(addrs ...string) *leader.Client {
	n := d.node("e1", keys.Entry, nil)
	c := clockwork.NewRealClock()
	f := member.NewFinder(n, c, zap.NewNop(), wire.Node{Name: "e1"}, addrs)
	return &leader.Client{Node: n, Finder: f, Clock: c, Log: zap.NewNop(), Groups: 4}
}

func accept() wire.Message { return wire.Proposed{Result: []byte("ok")} }

func refuse() wire.Message { return wire.Refused{Reason: "not the leader"} }

func TestProposalFindsTheKeeperThatAccepts(t *testing.T) {
	d := newDeployment(t)
	c := d.client(d.keeper("k1", refuse), d.keeper("k2", accept))
	a, err := c.Propose(t.Context(), 1, []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(a), "ok")
}

// A leader that hangs costs one try, not the whole call: the keeper in the same
// process is asked first in each call, and knows the new leader.
func TestLocalKeeperIsAskedFirst(t *testing.T) {
	d := newDeployment(t)
	release := make(chan struct{})
	defer close(release)
	frozen := d.keeper("k1", func() wire.Message {
		<-release
		return refuse()
	})
	var asked atomic.Int32
	local := d.keeper("k2", func() wire.Message {
		if asked.Add(1) == 1 {
			return wire.Refused{Reason: "not the leader", Leader: "k1"}
		}
		return accept()
	})
	c := d.client(frozen, local)
	c.LocalKeeper, c.TryTimeout = local, 100*time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range 2 {
		_, err := c.Propose(ctx, 1, []byte("x"))
		assert.NilError(t, err)
	}
	assert.Assert(t, asked.Load() >= 3, "the keeper in the same process was asked only %d times", asked.Load())
}

// Guards against a keeper that is no member of the group, or is cut off, and refuses the
// calls of its own process although another keeper leads.
func TestOtherKeepersFollowTheLocalOne(t *testing.T) {
	d := newDeployment(t)
	var local, lost atomic.Int32
	release := make(chan struct{})
	defer close(release)
	k1 := d.keeper("k1", func() wire.Message {
		local.Add(1)
		return refuse()
	})
	k2 := d.keeper("k2", func() wire.Message {
		lost.Add(1)
		<-release
		return refuse()
	})
	var asked atomic.Int32
	k3 := d.keeper("k3", func() wire.Message {
		if asked.Add(1)%2 == 1 {
			return refuse()
		}
		return accept()
	})
	c := d.client(k1, k2, k3)
	c.LocalKeeper, c.TryTimeout = k1, time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range 2 {
		local.Store(0)
		lost.Store(0)
		_, err := c.Propose(ctx, 1, []byte("x"))
		assert.NilError(t, err)
		// The local keeper is asked first in each call, and in each round.
		assert.Assert(t, local.Load() >= 2, "the local keeper was asked %d times", local.Load())
		assert.Assert(t, lost.Load() <= 1, "the keeper that does not answer was asked %d times", lost.Load())
	}
}

// Guards against a call that is reported as not accepted although a keeper other than
// the local one may have accepted it, and the reverse.
func TestNotAcceptedCountsAllKeepers(t *testing.T) {
	for name, mayHaveApplied := range map[string]bool{"refused": false, "may have been applied": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var asked atomic.Int32
			k1 := d.keeper("k1", refuse)
			k2 := d.keeper("k2", func() wire.Message {
				asked.Add(1)
				return wire.Refused{Reason: "leadership was lost", MayHaveApplied: mayHaveApplied}
			})
			c := d.client(k1, k2)
			clock := clockwork.NewFakeClock()
			c.LocalKeeper, c.Clock = k1, clock
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := c.Propose(ctx, 1, nil)
				result <- err
			}()
			// The call ends during the back-off after the second refusal.
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
			clock.Advance(time.Second)
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
			cancel()
			assert.Equal(t, asked.Load(), int32(1))
			var unsent leader.NotAccepted
			assert.Equal(t, errors.As(<-result, &unsent), !mayHaveApplied)
		})
	}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestRefusedProposalIsNotAccepted(t *testing.T) {
	d := newDeployment(t)
	_, err := d.client(d.keeper("k1", refuse)).Propose(shortContext(t), 1, nil)
	var unsent leader.NotAccepted
	assert.Assert(t, errors.As(err, &unsent), "%v", err)
}

func TestProposalDroppedByALeaderMayBeApplied(t *testing.T) {
	d := newDeployment(t)
	var n atomic.Int32
	_, err := d.client(d.keeper("k1", func() wire.Message {
		if n.Add(1) == 1 {
			return wire.Refused{Reason: "leadership was lost", MayHaveApplied: true}
		}
		return refuse()
	})).Propose(shortContext(t), 1, nil)
	var unsent leader.NotAccepted
	assert.Assert(t, err != nil && !errors.As(err, &unsent), "%v", err)
}

func TestUnansweredProposalMayBeApplied(t *testing.T) {
	d := newDeployment(t)
	release := make(chan struct{})
	defer close(release)
	_, err := d.client(d.keeper("k1", func() wire.Message {
		<-release
		return accept()
	})).Propose(shortContext(t), 1, nil)
	var unsent leader.NotAccepted
	assert.Assert(t, err != nil && !errors.As(err, &unsent), "%v", err)
}

func TestGroupOfIsStableAndInRange(t *testing.T) {
	c := &leader.Client{Groups: 4}
	seen := map[uint32]bool{}
	for _, k := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		g := c.GroupOf(k)
		assert.Assert(t, g >= 1 && g <= 4)
		assert.Equal(t, g, c.GroupOf(k))
		seen[g] = true
	}
	assert.Assert(t, len(seen) > 1)
}

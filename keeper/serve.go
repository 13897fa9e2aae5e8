package keeper

import (
	"context"
	"math"
	"time"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/spans"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

const (
	// watchTimeout bounds how long a WatchConfig request waits for a change of
	// the configuration.
	watchTimeout = 500 * time.Millisecond
	// maxCommandBytes bounds an encoded command.
	maxCommandBytes = 1 << 20
)

func (k *Keeper) propose(ctx context.Context, _ link.Peer, m wire.Propose) wire.Message {
	ctx, span := spans.Start(spans.Extract(ctx, m.Trace), "keeper")
	defer span.End()
	r := k.submit(ctx, request{group: uint64(m.Group), command: m.Command, reply: make(chan reply, 1)})
	if r.refused != nil {
		return *r.refused
	}
	return wire.Proposed{Result: r.result}
}

func (k *Keeper) query(ctx context.Context, _ link.Peer, m wire.Query) wire.Message {
	q := m.Query
	if q == nil {
		q = []byte{}
	}
	r := k.submit(ctx, request{group: uint64(m.Group), query: q, reply: make(chan reply, 1)})
	if r.refused != nil {
		return *r.refused
	}
	return wire.Queried{Result: r.result}
}

func (k *Keeper) submit(ctx context.Context, q request) reply {
	if len(q.command) > maxCommandBytes {
		return reply{refused: &wire.Refused{Reason: "the command is too large"}}
	}
	if q.group > uint64(k.opts.Groups) {
		return reply{refused: &wire.Refused{Reason: "no such group"}}
	}
	select {
	case k.inputs <- q:
	case <-ctx.Done():
		return reply{refused: &wire.Refused{Reason: "the keeper is busy"}}
	case <-k.loopEnded:
		return reply{refused: &wire.Refused{Reason: "the keeper is stopping"}}
	}
	select {
	case r := <-q.reply:
		return r
	case <-ctx.Done():
	case <-k.loopEnded:
	}
	return reply{refused: &wire.Refused{Reason: "no answer in time", MayHaveApplied: true}}
}

// watchConfig handles WatchConfig as a long poll: it returns the configuration changes
// since the entry's version, and waits up to watchTimeout when there are none.
func (k *Keeper) watchConfig(ctx context.Context, _ link.Peer, m wire.WatchConfig) wire.Message {
	k.mu.Lock()
	changed := k.configChanged
	k.mu.Unlock()
	u, ok := k.configUpdate(m.Version)
	if ok && u.Fresh.Version <= m.Version {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-k.loopEnded:
		case <-k.opts.Clock.After(watchTimeout):
		}
		u, ok = k.configUpdate(m.Version)
	}
	if allowed := m.AllowUnconfirmed && u.Delta.To > 0; !ok && !allowed {
		return wire.Refused{Reason: "no quorum has confirmed this keeper's configuration"}
	}
	return u
}

// configUpdate returns the configuration changes since a version, and false and
// a negative age when no quorum has confirmed this keeper's configuration yet.
func (k *Keeper) configUpdate(version uint64) (u wire.ConfigUpdate, ok bool) {
	k.runInLoop(func() {
		r := k.groups[0]
		c := r.machine.(*state.Config)
		var age time.Duration
		if _, age, ok = r.node.Freshness(k.now()); !ok {
			age = -1
		}
		u.Fresh = model.Freshness{Version: c.Version(), Age: age}
		u.Held = k.now() - k.configAppliedAt
		if c.Version() > version {
			u.Delta = c.Since(version)
		}
	})
	return u, ok
}

// evacuationState handles GetEvacuation. The answer's age tells how recent it is, so that a
// keeper without a quorum answers too.
func (k *Keeper) evacuationState(_ context.Context, _ link.Peer, m wire.GetEvacuation) wire.Message {
	s := wire.EvacuationState{Age: -1}
	k.runInLoop(func() {
		r := k.groups[0]
		c := r.machine.(*state.Config)
		s.Version, s.Evacuated = c.Version(), evac.Active(c.Item(evac.Key(m.DataCentre)))
		if _, age, ok := r.node.Freshness(k.now()); ok {
			s.Age = age
		}
	})
	return s
}

// Ready reports whether a quorum has confirmed this keeper's configuration
// within the given time.
func (k *Keeper) Ready(within time.Duration) bool {
	// No version is above MaxUint64, so no configuration is copied.
	u, ok := k.configUpdate(math.MaxUint64)
	return ok && u.Fresh.Age <= within
}

// LedGroups returns the number of groups that this keeper leads.
func (k *Keeper) LedGroups() int {
	n := 0
	k.runInLoop(func() {
		for _, r := range k.groups {
			if r.node.Status().Role == rlog.Leader {
				n++
			}
		}
	})
	return n
}

// keeperState handles GetKeeperState: it returns the replica ID and the state of each
// group's replica.
func (k *Keeper) keeperState(_ context.Context, _ link.Peer, _ wire.GetKeeperState) wire.Message {
	s := wire.KeeperState{Self: k.self, Evacuations: true}
	k.runInLoop(func() {
		for g := range uint64(k.opts.Groups + 1) {
			st := k.groups[g].node.Status()
			s.Groups = append(s.Groups, wire.GroupState{
				Group: g, Members: st.Members, IsLeader: st.Role == rlog.Leader, Term: st.Term,
				Commit: st.Commit, Last: st.Last, Leader: st.Leader.Name, Changing: st.Changing,
			})
		}
	})
	return s
}

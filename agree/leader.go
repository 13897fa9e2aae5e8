package agree

import (
	"slices"
	"time"

	"cyclamenrelay.example/wire"
)

// leadership is the state of a leader; the zero value for others.
type leadership struct {
	peers     []*peer // the other members, sorted by ID
	firstOwn  uint64  // the index of the first entry of this term
	beatAt    time.Duration
	checkedAt time.Duration
	// proposals are the IDs of the entries from proposed on.
	proposals   []uint64
	proposed    uint64
	uncommitted int // bytes of entries that are not committed
	transfer    transfer
	reads       reads
}

// transfer is a hand-over of leadership, the zero value when there is none.
type transfer struct {
	to    ID
	until time.Duration
}

func (t transfer) active() bool { return t.to != ID{} }

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.lead = leadership{firstOwn: n.log.last() + 1, proposed: n.log.last() + 1, checkedAt: n.now, beatAt: n.now}
	n.syncPeers()
	n.appendOwn(KindNoop, nil, 0)
	n.startRound()
}

// resign ends a leadership: callers learn that the outcome is not known here.
func (n *Node) resign() {
	for _, id := range n.lead.proposals {
		n.drop(id, ReasonUnknown)
	}
	for _, id := range n.lead.reads.all() {
		n.drop(id, ReasonNotLeader)
	}
	n.lead = leadership{}
}

func (n *Node) drop(id uint64, r Reason) {
	if id == 0 {
		return
	}
	d := Dropped{ID: id, Reason: r}
	if n.leader != n.cfg.ID {
		d.Leader = n.leader
	}
	n.events = append(n.events, d)
}

// take returns the IDs of the proposals that made the entries.
func (l *leadership) take(es []Entry) []uint64 {
	first, last := es[0].Index, es[len(es)-1].Index
	for i := range es {
		l.uncommitted = max(0, l.uncommitted-len(es[i].Data)-entryOverhead)
	}
	if len(l.proposals) == 0 || last < l.proposed {
		return nil
	}
	k := last + 1 - l.proposed
	ids := l.proposals[:k:k]
	l.proposals, l.proposed = l.proposals[k:], last+1
	if missing := len(es) - len(ids); missing > 0 {
		ids = append(make([]uint64, missing, len(es)), ids...)
	}
	invariant(last-first+1 == uint64(len(ids)), "%d proposals for entries %d to %d", len(ids), first, last)
	return ids
}

func (n *Node) appendOwn(kind uint8, data []byte, id uint64) {
	e := Entry{Index: n.log.last() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.members = n.members.with(e)
	n.writer.markAppend(e.Index)
	n.lead.proposals = append(n.lead.proposals, id)
	n.lead.uncommitted += len(data) + entryOverhead
}

func (n *Node) propose(p Propose) {
	switch {
	case n.role != Leader || n.lead.transfer.active():
		n.drop(p.ID, ReasonNotLeader)
	case n.lead.uncommitted > n.cfg.MaxUncommitted:
		n.drop(p.ID, ReasonBusy)
	default:
		n.appendOwn(KindCommand, p.Data, p.ID)
	}
}

func (n *Node) changeMember(c ChangeMember) {
	if n.role != Leader || n.lead.transfer.active() {
		n.drop(c.ID, ReasonNotLeader)
		return
	}
	next, ok := n.members.current().change(c)
	newest := n.members[len(n.members)-1].index
	switch {
	case !ok:
		n.drop(c.ID, ReasonInvalid)
	case n.hard.Commit < max(newest, n.lead.firstOwn):
		n.drop(c.ID, ReasonChanging)
	case !c.Remove && c.Member.Voter && !n.caughtUp(c.Member.ID):
		n.drop(c.ID, ReasonLagging)
	default:
		data, err := wire.MarshalValue(next)
		invariant(err == nil, "encoding the membership: %v", err)
		n.appendOwn(KindMembers, data, c.ID)
		n.syncPeers()
	}
}

// caughtUp reports whether a learner holds all that is committed.
func (n *Node) caughtUp(id ID) bool {
	p := n.lead.peer(id)
	return p != nil && p.match >= n.hard.Commit && n.now-p.activeAt < n.cfg.Election
}

// syncPeers makes the peers those of the current membership.
func (n *Node) syncPeers() {
	old := n.lead.peers
	n.lead.peers = nil
	for _, m := range n.members.current() {
		if m.ID == n.cfg.ID {
			continue
		}
		i := slices.IndexFunc(old, func(p *peer) bool { return p.id == m.ID })
		p := &peer{id: m.ID, next: n.log.last() + 1, probing: true, activeAt: n.now}
		if i >= 0 {
			p = old[i]
		}
		p.voter = m.Voter
		n.lead.peers = append(n.lead.peers, p)
	}
}

// quorum returns the highest value that a quorum of the voters has reached.
func (n *Node) quorum(own uint64, of func(*peer) uint64) uint64 {
	var buf [16]uint64
	vs := buf[:0]
	if n.self() {
		vs = append(vs, own)
	}
	for _, p := range n.lead.peers {
		if p.voter {
			vs = append(vs, of(p))
		}
	}
	slices.Sort(vs)
	return vs[(len(vs)-1)/2]
}

func (n *Node) advanceCommit() {
	i := n.quorum(n.writer.stable, func(p *peer) uint64 { return p.match })
	if i <= n.hard.Commit {
		return
	}
	// Only an entry of the own term proves that no other leader can replace it.
	if t, _ := n.log.term(i); t == n.hard.Term {
		n.commitTo(i)
		n.verified = n.hard.Commit
	}
}

func (n *Node) leaderTick() {
	if n.now-n.lead.checkedAt >= n.cfg.Election {
		n.lead.checkedAt = n.now
		if !n.checkQuorum() {
			n.becomeFollower(n.hard.Term, ID{})
			return
		}
	}
	if t := &n.lead.transfer; t.active() && n.now >= t.until {
		*t = transfer{}
	}
	for _, p := range n.lead.peers {
		if p.waiting() && n.now-p.sentAt >= n.cfg.Resend {
			p.reset()
		}
	}
	if n.now >= n.lead.beatAt {
		n.startRound()
		// Aligned, so that the heartbeats of all groups fall together.
		n.lead.beatAt = n.now.Truncate(n.cfg.Heartbeat) + n.cfg.Heartbeat
	}
}

// checkQuorum reports whether a quorum was heard within an election timeout.
func (n *Node) checkQuorum() bool {
	heard := n.quorum(1, func(p *peer) uint64 {
		if n.now-p.activeAt < n.cfg.Election {
			return 1
		}
		return 0
	})
	return heard == 1
}

// leaveIfRemoved steps down once the own removal is committed.
func (n *Node) leaveIfRemoved() {
	newest := n.members[len(n.members)-1]
	if !n.self() && newest.index <= n.hard.Commit {
		if p := n.mostAdvanced(); p != nil {
			n.send(p.id, wire.AgreeTimeoutNow{})
		}
		n.becomeFollower(n.hard.Term, ID{})
	}
}

func (n *Node) mostAdvanced() *peer {
	var best *peer
	for _, p := range n.lead.peers {
		if p.voter && n.now-p.activeAt < n.cfg.Election && (best == nil || p.match > best.match) {
			best = p
		}
	}
	return best
}

func (n *Node) startTransfer() {
	if n.role != Leader || n.lead.transfer.active() {
		return
	}
	if p := n.mostAdvanced(); p != nil {
		n.lead.transfer = transfer{to: p.id, until: n.now + n.cfg.Election}
		n.continueTransfer(p)
	}
}

// continueTransfer hands over once the follower holds the whole log.
func (n *Node) continueTransfer(p *peer) {
	if n.lead.transfer.to == p.id && p.match == n.log.last() {
		n.send(p.id, wire.AgreeTimeoutNow{})
	}
}

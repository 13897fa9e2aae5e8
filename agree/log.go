package agree

import (
	"cmp"
	"slices"

	"cyclamenrelay.example/wire"
)

// entryLog holds the entries after a base. Slices of it stay valid: entries
// are never overwritten in place.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, false when i is not held.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.baseIndex:
		return l.baseTerm, true
	case i < l.baseIndex || i > l.last():
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

// slice returns the entries from first to last.
func (l *entryLog) slice(first, last uint64) []Entry {
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// limited returns entries from first of at most maxBytes, at least one if there is one.
func (l *entryLog) limited(first uint64, maxBytes int) []Entry {
	es := l.slice(first, l.last())
	size := 0
	for i := range es {
		size += len(es[i].Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es
}

func (l *entryLog) truncate(from uint64) {
	l.entries = slices.Clip(l.entries[:from-l.baseIndex-1])
}

func (l *entryLog) compact(to uint64) {
	if to <= l.baseIndex {
		return
	}
	t, _ := l.term(to)
	l.entries = slices.Clone(l.entries[to-l.baseIndex:])
	l.baseIndex, l.baseTerm = to, t
}

// entryOverhead is the encoded size of an entry without its data, in bytes.
const entryOverhead = 24

// Membership is the members of a group, sorted by ID. It is not changed in place.
type Membership []Member

func compareID(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Find returns the member with the ID, false when there is none.
func (m Membership) Find(id ID) (Member, bool) {
	for _, x := range m {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// With returns m with the member added or replaced.
func (m Membership) With(x Member) Membership {
	out := append(m.Without(x.ID), x)
	slices.SortFunc(out, func(a, b Member) int { return compareID(a.ID, b.ID) })
	return out
}

// Without returns m without the member.
func (m Membership) Without(id ID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	v := 0
	for _, x := range m {
		if x.Voter {
			v++
		}
	}
	return v
}

func (m Membership) isVoter(id ID) bool {
	x, _ := m.Find(id)
	return x.Voter
}

// change returns m after the change, and why it is not allowed otherwise.
func (m Membership) change(c ChangeMember) (Membership, bool) {
	old, exists := m.Find(c.Member.ID)
	switch {
	case c.Remove:
		ok := exists && (!old.Voter || m.Voters() > 1)
		return m.Without(c.Member.ID), ok
	case !exists:
		return m.With(c.Member), !c.Member.Voter
	case old.Voter || !c.Member.Voter:
		return m, false
	}
	for _, x := range m {
		if x.Voter && x.ID.Name == c.Member.ID.Name {
			return m, false
		}
	}
	return m.With(c.Member), true
}

// memberLog is the history of the membership that the log holds.
type memberLog []memberAt

type memberAt struct {
	index   uint64
	members Membership
}

func (l memberLog) current() Membership { return l[len(l)-1].members }

func (l memberLog) at(index uint64) Membership {
	for i := len(l) - 1; i > 0; i-- {
		if l[i].index <= index {
			return l[i].members
		}
	}
	return l[0].members
}

func (l memberLog) with(e Entry) memberLog {
	if e.Kind != KindMembers {
		return l
	}
	var m Membership
	err := wire.UnmarshalValue(e.Data, &m)
	invariant(err == nil, "membership at index %d: %v", e.Index, err)
	return append(l, memberAt{e.Index, m})
}

func (l memberLog) truncate(from uint64) memberLog {
	for len(l) > 1 && l[len(l)-1].index >= from {
		l = l[:len(l)-1]
	}
	return l
}

func (l memberLog) compact(to uint64) memberLog {
	for len(l) > 1 && l[1].index <= to {
		l = l[1:]
	}
	return l
}

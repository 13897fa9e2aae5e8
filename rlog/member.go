package rlog

import (
	"cmp"
	"slices"

	"cyclamenrelay.example/wire"
)

// Membership holds the members of a group, sorted by ID. It is never changed in
// place.
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

// IsVoter reports whether the ID is that of a voter.
func (m Membership) IsVoter(id ID) bool {
	x, _ := m.Find(id)
	return x.Voter
}

// Change returns m after the change, and whether the change is allowed: a new
// member must be a learner, only a learner whose host has no vote yet can be
// promoted, and the last voter cannot be removed.
func (m Membership) Change(c ChangeMember) (Membership, bool) {
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

// MembershipHistory is the history of the memberships in the log, oldest first. It is
// never empty.
type MembershipHistory []membershipAt

// NewMemberLog returns the history that begins with the membership m at index.
func NewMemberLog(index uint64, m Membership) MembershipHistory { return MembershipHistory{{index, m}} }

// Newest returns the index of the current membership.
func (l MembershipHistory) Newest() uint64 { return l[len(l)-1].index }

type membershipAt struct {
	index   uint64
	members Membership
}

// Current returns the newest membership.
func (l MembershipHistory) Current() Membership { return l[len(l)-1].members }

// At returns the membership after the entry at index.
func (l MembershipHistory) At(index uint64) Membership {
	for i := len(l) - 1; i > 0; i-- {
		if l[i].index <= index {
			return l[i].members
		}
	}
	return l[0].members
}

// With returns the history with the membership of the entry e added, if it holds
// one. It panics if the membership cannot be decoded.
func (l MembershipHistory) With(e Entry) MembershipHistory {
	if e.Kind != KindMembers {
		return l
	}
	var m Membership
	err := wire.UnmarshalValue(e.Data, &m)
	Invariant(err == nil, "decoding the membership at index %d: %v", e.Index, err)
	return append(l, membershipAt{e.Index, m})
}

// Truncate returns the history without the memberships from index from on.
func (l MembershipHistory) Truncate(from uint64) MembershipHistory {
	for len(l) > 1 && l[len(l)-1].index >= from {
		l = l[:len(l)-1]
	}
	return l
}

// Compact returns the history without the memberships that were replaced at or
// before index to.
func (l MembershipHistory) Compact(to uint64) MembershipHistory {
	for len(l) > 1 && l[1].index <= to {
		l = l[1:]
	}
	return l
}

package opsvc

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// maxRemovalAttempts bounds the attempts to remove the lost member in a replacement,
// each of which may end in a conflict.
const maxRemovalAttempts = 5

// Members implements admin.Backend. It lists the keepers in the newest membership
// of the configuration's group, and those that are configured but not members yet.
func (s *Service) Members(ctx context.Context) ([]admin.MemberStatus, error) {
	states := s.queryKeepers(ctx)
	byName := map[string]*admin.MemberStatus{}
	cfg := s.Config()
	for _, i := range cfg.Items(model.SectionMember) {
		m := &admin.MemberStatus{Name: i.Key.Name}
		if json.Unmarshal(i.Value, &m.Member) == nil {
			m.Voter = false
			byName[m.Name] = m
		}
	}
	members, commit := membership(states)
	for _, m := range members {
		row := byName[m.ID.Name]
		if row == nil {
			row = &admin.MemberStatus{Name: m.ID.Name}
			byName[m.ID.Name] = row
		}
		row.Voter = row.Voter || m.Voter
	}
	for _, n := range s.finder.Nodes(keys.Keeper) {
		if row := byName[n.Name]; row != nil {
			row.Address, row.DataCentre = n.Address, n.DataCentre
		}
	}
	var out []admin.MemberStatus
	for _, row := range byName {
		row.Count = cfg.Item(model.ItemKey{Section: model.SectionMember, Name: row.Name}).Count
		addKeeperState(row, states, members, commit)
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b admin.MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// membership returns the newest known members and commit index of the
// configuration's group.
func membership(states []wire.KeeperState) (members []wire.RaftMember, commit uint64) {
	for _, k := range states {
		if g := k.Groups[0]; len(g.Members) > 0 && (g.Commit >= commit || members == nil) {
			members, commit = g.Members, g.Commit
		}
	}
	return members, commit
}

// addKeeperState adds the state that the keeper reports. A keeper that has lost its disk
// is a new replica, which does not vote while the old one is still a member.
func addKeeperState(row *admin.MemberStatus, states []wire.KeeperState, members []wire.RaftMember, commit uint64) {
	row.MissingEntries = commit
	for _, k := range states {
		if k.Self.Name != row.Name {
			continue
		}
		row.Up = true
		row.Voter = slices.Contains(members, wire.RaftMember{ID: k.Self, Voter: true})
		row.MissingEntries = commit - min(commit, k.Groups[0].Commit)
		for _, g := range k.Groups {
			if g.IsLeader {
				row.Leads++
			}
		}
	}
}

// queryKeepers queries all keepers and returns the states of those that answer
// within queryTimeout.
func (s *Service) queryKeepers(ctx context.Context) []wire.KeeperState {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	states := map[string]wire.KeeperState{}
	for _, addr := range s.finder.Addresses(keys.Keeper) {
		wg.Go(func() {
			a, err := s.node.Call(ctx, link.Dest{Address: addr, Role: keys.Keeper}, wire.GetKeeperState{})
			k, ok := a.(wire.KeeperState)
			if err != nil || !ok || len(k.Groups) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[k.Self.Name] = k
		})
	}
	wg.Wait()
	var out []wire.KeeperState
	for _, k := range states {
		out = append(out, k)
	}
	return out
}

// ChangeMember implements admin.Backend. Each action is idempotent by its ID. A
// replacement is two changes, an addition and a removal; the ID of the second is
// derived from the first, so that a resend repeats neither.
func (s *Service) ChangeMember(ctx context.Context, c admin.MemberChange) (model.ChangeResult, error) {
	change := model.Change{
		ID: c.ID, Operator: c.Operator, Expected: c.Expected,
		Key: model.ItemKey{Section: model.SectionMember, Name: c.Name},
	}
	if c.Action == admin.MemberRemove {
		if err := s.checkRemovable(ctx, change.Key); err != nil {
			return model.ChangeResult{}, err
		}
		return s.Change(ctx, change)
	}
	var err error
	change.Value, err = json.Marshal(model.Member{Address: c.Address, DataCentre: c.DataCentre, Voter: true})
	if err != nil {
		return model.ChangeResult{}, trace.Wrap(err)
	}
	res, err := s.Change(ctx, change)
	if err != nil || !res.Accepted || c.Action != admin.MemberReplace {
		return res, err
	}
	if err := s.removeReplaced(ctx, c); err != nil {
		return model.ChangeResult{}, trace.ConnectionProblem(err,
			"%s was added but %s is not removed yet; resend the change: %v", c.Name, c.Replaces, err)
	}
	return res, nil
}

// checkRemovable returns an error if the keeper is not a member (trace.NotFound) or no
// other voting keeper is known (trace.LimitExceeded).
func (s *Service) checkRemovable(ctx context.Context, key model.ItemKey) error {
	members, err := s.Members(ctx)
	if err != nil {
		return err
	}
	others := 0
	known := s.Config().Item(key).Count > 0
	for _, m := range members {
		if m.Name == key.Name {
			known = true
		} else if m.Voter {
			others++
		}
	}
	if !known && len(members) > 0 {
		return trace.NotFound("%s is not a member", key.Name)
	}
	if others == 0 {
		return trace.LimitExceeded("removal refused: no other voting keeper is known")
	}
	return nil
}

// removeReplaced removes the member that is replaced. After a conflict it tries again with
// the count that the conflict returned. If the item is already deleted, the
// removal is done.
func (s *Service) removeReplaced(ctx context.Context, c admin.MemberChange) error {
	key := model.ItemKey{Section: model.SectionMember, Name: c.Replaces}
	item := s.Config().Item(key)
	for range maxRemovalAttempts {
		if item.Count > 0 && item.Value == nil {
			return nil
		}
		res, err := s.Change(ctx, model.Change{ID: removalID(c.ID, item.Count), Operator: c.Operator, Key: key, Expected: item.Count})
		if err != nil || res.Accepted {
			return err
		}
		item = res.Item
	}
	return trace.CompareFailed("%s is being changed by others at the same time", c.Replaces)
}

func removalID(id string, count uint64) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(id+"/"+strconv.FormatUint(count, 10))).String()
}

package steer

import (
	"context"
	"math"
	"time"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
)

const (
	watchInterval = 5 * time.Second
	// refusedWindow is the time over which refused tasks are counted.
	refusedWindow = time.Minute
	// entryMemory is how long an entry that has gone without leaving counts as down.
	entryMemory = 10 * time.Minute
)

// samples are values of a counter, the oldest first.
type samples []sample

type sample struct {
	at    time.Time
	value uint64
}

// with returns the samples with a new one and without those that are not needed.
func (s samples) with(now time.Time, value uint64) samples {
	s = append(s, sample{now, value})
	for len(s) > 1 && now.Sub(s[1].at) >= refusedWindow {
		s = s[1:]
	}
	return s
}

// watch notes from time to time which entries there are and how much was refused.
func (s *Service) watch(ctx context.Context) {
	for ctx.Err() == nil {
		s.note()
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(watchInterval):
		}
	}
}

func (s *Service) note() (refused uint64) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	value := meter.Answers(model.OutcomeName(model.NotRun{})).Get()
	s.refused = s.refused.with(now, value)
	for _, e := range s.finder.Nodes(keys.Entry) {
		if e.Leaving {
			delete(s.entries, e.Name)
			continue
		}
		s.entries[e.Name] = now
	}
	for name, at := range s.entries {
		if now.Sub(at) > entryMemory {
			delete(s.entries, name)
		}
	}
	return value - s.refused[0].value
}

// Status implements admin.Backend.
func (s *Service) Status(ctx context.Context) admin.Status {
	self := s.finder.Self()
	// Nobody is at this version, so that the answer carries no items.
	fresh := s.opts.View.Update(math.MaxUint64).Fresh
	st := admin.Status{
		Entry: self.Name, DataCentre: self.DataCentre, Version: fresh.Version, Fresh: s.opts.View.Usable(),
		Age:             conf.Duration(min(fresh.Age, s.opts.Clock.Since(s.began)).Round(time.Millisecond)),
		CertificateEnds: s.opts.Identity.NotAfter(),
	}
	st.Queue.Refused = int(s.note())
	s.countNodes(ctx, &st)
	for _, t := range s.Targets() {
		countTarget(&st, t)
	}
	for _, w := range s.waiting() {
		st.Queue.Tasks++
		st.Queue.Oldest = max(st.Queue.Oldest, conf.Duration(w.Waited.Round(time.Millisecond)))
		if w.NoTarget {
			st.Queue.NoTarget++
		}
	}
	st.Queue.Jobs = len(s.jobs.List(stateOpen, maxListed))
	return st
}

func (s *Service) countNodes(ctx context.Context, st *admin.Status) {
	members, _ := s.Members(ctx)
	for _, m := range members {
		st.Keepers.Known++
		if m.Up {
			st.Keepers.Up++
		}
	}
	if len(members) == 0 {
		st.Keepers.Known = len(s.finder.Addresses(keys.Keeper))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Entries.Known = len(s.entries)
	for _, e := range s.finder.Nodes(keys.Entry) {
		if _, ok := s.entries[e.Name]; ok {
			st.Entries.Up++
		}
	}
}

// countTarget counts a target and the agent beside it.
func countTarget(st *admin.Status, t admin.TargetStatus) {
	st.Agents.Known++
	st.Agents.Up++
	c := &st.Targets
	switch t.State {
	case admin.TargetLost:
		st.Agents.Up--
		c.Lost++
		return
	case admin.TargetDraining:
		c.Draining++
		return
	case admin.TargetProbation:
		c.Probation++
	default:
		c.Up++
	}
	c.Slots += t.Slots
	c.Free += t.Free
}

package opsvc

import (
	"context"
	"math"
	"time"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
)

const (
	sampleInterval = 5 * time.Second
	// refusedWindow is the time over which refused tasks are counted.
	refusedWindow = time.Minute
	// lostEntryRetention is how long an entry that vanished without announcing that it
	// leaves is still counted, as down.
	lostEntryRetention = 10 * time.Minute
)

// samples are timestamped values of a counter, the oldest first.
type samples []sample

type sample struct {
	at    time.Time
	value uint64
}

// appendSample returns the samples with a new one appended, without those that are no
// longer needed: the newest one of at least refusedWindow ago is kept as the base.
func (s samples) appendSample(now time.Time, value uint64) samples {
	s = append(s, sample{now, value})
	for len(s) > 1 && now.Sub(s[1].at) >= refusedWindow {
		s = s[1:]
	}
	return s
}

// sampleRegularly records every sampleInterval which entries are known and how many tasks
// were refused, until ctx ends.
func (s *Service) sampleRegularly(ctx context.Context) {
	for ctx.Err() == nil {
		s.recordSamples()
		select {
		case <-ctx.Done():
		case <-s.opts.Clock.After(sampleInterval):
		}
	}
}

// recordSamples records the known entries and the counter of refused tasks, and returns how
// many tasks were refused within refusedWindow.
func (s *Service) recordSamples() (refused uint64) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	value := meter.Answers(model.OutcomeName(model.NotRun{})).Get()
	s.refusals = s.refusals.appendSample(now, value)
	for _, e := range s.finder.Nodes(keys.Entry) {
		if e.Leaving {
			delete(s.entriesSeen, e.Name)
			continue
		}
		s.entriesSeen[e.Name] = now
	}
	for name, at := range s.entriesSeen {
		if now.Sub(at) > lostEntryRetention {
			delete(s.entriesSeen, name)
		}
	}
	return value - s.refusals[0].value
}

// Status implements admin.Backend.
func (s *Service) Status(ctx context.Context) admin.Status {
	self := s.finder.Self()
	// No configuration has this version, so the update carries no items.
	fresh := s.opts.View.UpdateSince(math.MaxUint64).Fresh
	st := admin.Status{
		Entry: self.Name, DataCentre: self.DataCentre, Version: fresh.Version, Fresh: s.opts.View.Usable(),
		Age:             conf.Duration(min(fresh.Age, s.opts.Clock.Since(s.started)).Round(time.Millisecond)),
		CertificateEnds: s.opts.Identity.NotAfter(),
	}
	for _, o := range evac.FromConfig(s.opts.View.Config()).Orders() {
		st.Evacuations = append(st.Evacuations, admin.Evacuation{
			DataCentre: o.DataCentre, Operator: o.Operator, Address: o.Address, Requested: o.At, Version: o.Version,
		})
	}
	st.Queue.Refused = int(s.recordSamples())
	s.countNodes(ctx, &st)
	for _, t := range s.Targets() {
		countTarget(&st, t)
	}
	for _, w := range s.queuedTasks() {
		st.Queue.Tasks++
		st.Queue.Oldest = max(st.Queue.Oldest, conf.Duration(w.Waited.Round(time.Millisecond)))
		if w.NoTarget {
			st.Queue.Unmatched++
		}
	}
	st.Queue.Jobs = len(s.jobs.List(stateOpen, maxListedJobs))
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
	st.Entries.Known = len(s.entriesSeen)
	for _, e := range s.finder.Nodes(keys.Entry) {
		if _, ok := s.entriesSeen[e.Name]; ok {
			st.Entries.Up++
		}
	}
}

// countTarget adds a target, its slots and the agent beside it to the counts.
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

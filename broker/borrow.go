package broker

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/assign"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

const (
	// neighbours is the number of entries that an entry asks for targets with free capacity.
	// They are always the same ones, so that its connections do not grow with the entries.
	neighbours = 6
	// wideSearch is the number of entries asked when no target that this entry knows can
	// ever take the task: few entries may know a target of a small pool.
	wideSearch = 16
	// enoughAnswers ends a search when that many entries have answered with targets.
	enoughAnswers = 2
	// maxLent is the number of targets that one entry lends at once.
	maxLent = 8
	// searchTimeout bounds a search: a round trip between distant data centres.
	searchTimeout = 40 * time.Millisecond
	// searchInterval is the minimum interval between the ends of two searches for a pool, so
	// that an overload of the whole fleet causes few messages.
	searchInterval = 50 * time.Millisecond
)

// search is a search for targets of other entries.
type search struct {
	done    chan struct{} // closed at the end
	found   bool          // set before done is closed
	endedAt time.Time
}

// borrow asks other entries for targets with free capacity for a task, and reports whether
// the fleet has got any. Jobs that need targets of one pool share a search. It returns
// false at once when the last search was a moment ago, or the slack does not leave the time.
// With admission by shares it waits for the next search if the last one has found targets and
// the slack leaves the time.
func (b *Broker) borrow(ctx context.Context, t assign.Task, impossible bool, slack time.Duration) bool {
	if b.opts.Entries == nil || slack < searchTimeout && !impossible {
		return false
	}
	b.mu.Lock()
	s := b.searches[t.Pool]
	switch {
	case s == nil || s.isDone() && b.opts.Clock.Since(s.endedAt) >= searchInterval:
		s = &search{done: make(chan struct{})}
		b.searches[t.Pool] = s
		b.node.Go(func() { b.runSearch(s, t, impossible) })
	case s.isDone():
		wait, again := searchInterval-b.opts.Clock.Since(s.endedAt), s.found && b.usesShares()
		b.mu.Unlock()
		if !again || slack < wait+searchTimeout {
			return false
		}
		select {
		case <-b.opts.Clock.After(wait):
			return b.borrow(ctx, t, impossible, slack-wait)
		case <-ctx.Done():
			return false
		}
	}
	b.mu.Unlock()
	select {
	case <-s.done:
		return s.found
	case <-ctx.Done():
		return false
	}
}

// isDone reports whether the search has ended. The caller holds the broker's mu.
func (s *search) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// runSearch asks other entries and adds the targets that they lend.
func (b *Broker) runSearch(s *search, t assign.Task, wide bool) {
	ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
	defer cancel()
	asked := b.entriesToAsk(wide)
	answers := make(chan []wire.LentTarget, len(asked))
	askedAt := b.opts.Clock.Now()
	for _, e := range asked {
		b.node.Go(func() { answers <- b.askForTargets(ctx, e, t) })
	}
	added, useful := 0, 0
	for range asked {
		lent := <-answers
		if len(lent) > 0 {
			useful++
		}
		b.mu.Lock()
		b.updateEvacuations()
		for _, l := range lent {
			if b.fleet.Borrow(l, askedAt, b.opts.Clock.Now()) {
				added++
			}
		}
		b.mu.Unlock()
		if useful >= enoughAnswers {
			break
		}
	}
	b.opts.Log.Info("searched for targets of other entries", zap.String("pool", t.Pool), zap.Int("asked", len(asked)),
		zap.Int("answers with targets", useful), zap.Int("targets added", added), zap.Duration("took", b.opts.Clock.Since(askedAt)))
	b.mu.Lock()
	s.found, s.endedAt = added > 0, b.opts.Clock.Now()
	b.mu.Unlock()
	close(s.done)
}

// entriesToAsk returns the entries for a search, and notes whether there are many.
func (b *Broker) entriesToAsk(wide bool) []wire.Node {
	var others []wire.Node
	all := b.opts.Entries()
	b.mu.Lock()
	b.manyEntries = len(all) > peers.HomeEntries
	b.mu.Unlock()
	for _, e := range all {
		if e.Name != b.opts.Name {
			others = append(others, e)
		}
	}
	if !wide {
		return peers.Choose(b.opts.Name, b.opts.DataCentre, others, neighbours)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(wideSearch, len(others))]
}

// askForTargets returns the targets that an entry lends, none when it does not answer.
func (b *Broker) askForTargets(ctx context.Context, e wire.Node, t assign.Task) []wire.LentTarget {
	m := wire.FindTargets{Pool: t.Pool, Need: t.Need, Label: t.Label}
	answer, err := b.node.CallNode(ctx, e.Name, link.Dest{Address: e.Address, Role: keys.Entry}, m)
	lent, ok := answer.(wire.LentTargets)
	if !ok {
		b.opts.Log.Debug("entry lent no targets", zap.String("entry", e.Name), zap.Error(err))
	}
	return lent.Targets
}

// handleFindTargets lends targets to another entry.
func (b *Broker) handleFindTargets(_ context.Context, _ link.Peer, m wire.FindTargets) wire.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateEvacuations()
	return wire.LentTargets{Targets: b.fleet.Lend(assign.Task{Pool: m.Pool, Need: m.Need, Label: m.Label}, maxLent, b.opts.Clock.Now())}
}

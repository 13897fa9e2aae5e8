package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 2 * time.Second
	// firstWait bounds the wait for the entry that is asked first.
	firstWait = 100 * time.Millisecond
	// maxEntries bounds the entries that one agent serves.
	maxEntries = 8
)

func (a *Agent) announceSoon() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// announceLoop announces the target to its entries, at intervals and when it
// changes. At an interval one entry comes first, each time the next, so that it
// brings a change of the configuration and the others need not.
func (a *Agent) announceLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &sync.Map{}
	turn, changed := 0, true
	for ctx.Err() == nil {
		entries := a.entries()
		if len(entries) > 0 && !changed {
			turn++
			select {
			case <-ctx.Done():
			case <-a.announceTo(ctx, &wg, busy, entries[turn%len(entries)]):
			case <-a.opts.Clock.After(firstWait):
			}
		}
		for i, e := range entries {
			if changed || i != turn%len(entries) {
				a.announceTo(ctx, &wg, busy, e)
			}
		}
		changed = false
		select {
		case <-ctx.Done():
		case <-a.wake:
			changed = true
		case <-a.opts.Clock.After(announceInterval):
		}
	}
}

// announceTo announces the target to an entry unless it is still being asked.
// The channel is closed once that has ended.
func (a *Agent) announceTo(ctx context.Context, wg *sync.WaitGroup, busy *sync.Map, e wire.Node) <-chan struct{} {
	done := make(chan struct{})
	if _, on := busy.LoadOrStore(e.Address, true); on {
		close(done)
		return done
	}
	wg.Go(func() {
		defer close(done)
		defer busy.Delete(e.Address)
		a.reached(e, a.announce(ctx, e.Address))
	})
	return done
}

// entries returns the entries to announce to: those that the keepers know of,
// and those that are cut off from the keepers but answer here, since their work
// in progress goes on.
func (a *Agent) entries() []wire.Node {
	known := a.finder.Nodes(keys.Entry)
	chosen := slices.Clone(choose(a.finder.Self().Name, known, maxEntries))
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, e := range a.answering {
		if !slices.ContainsFunc(known, func(k wire.Node) bool { return k.Name == name }) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// reached notes whether an entry has answered.
func (a *Agent) reached(e wire.Node, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !answered {
		delete(a.answering, e.Name)
	} else if _, known := a.answering[e.Name]; known || len(a.answering) < maxEntries {
		a.answering[e.Name] = e
	}
}

// announce reports whether the entry has answered.
func (a *Agent) announce(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := a.announcement()
	sent := a.opts.Clock.Now()
	r, err := a.node.Call(ctx, link.To{Address: addr, Role: keys.Entry}, m)
	if err != nil {
		a.opts.Log.Debug("entry not reached", zap.String("address", addr), zap.Error(err))
		return false
	}
	ok, is := r.(wire.Announced)
	if is {
		a.opts.View.Apply(ok.Config, sent)
	}
	return is
}

func (a *Agent) announcement() wire.Announce {
	m := wire.Announce{Self: a.finder.Self(), Version: a.opts.View.Config().Version()}
	a.mu.Lock()
	defer a.mu.Unlock()
	m.Free = a.core.Free()
	a.seq++
	m.Seq = a.seq
	m.Self.Leaving = a.draining
	if l := a.target; l != nil && a.opts.Clock.Now().Before(l.ends) {
		m.Target = &l.target
	}
	return m
}

// choose returns at most n entries, the same ones for one agent while the
// entries stay, and spread evenly over all agents (rendezvous hashing).
func choose(agent string, entries []wire.Node, n int) []wire.Node {
	if len(entries) <= n {
		return entries
	}
	return model.Rendezvous(agent, entries, func(e wire.Node) string { return e.Name })[:n]
}

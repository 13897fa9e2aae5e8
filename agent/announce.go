package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/peers"
	"cyclamenrelay.example/wire"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 2 * time.Second
	// firstAnswerWait bounds the wait for the answer of the entry that is first in turn.
	firstAnswerWait = 100 * time.Millisecond
	// maxEntries bounds the entries, of those that the keepers know, that one agent
	// announces its target to.
	maxEntries = 8
)

// announceSoon makes the announce loop announce the target to all entries now.
func (a *Agent) announceSoon() {
	select {
	case a.announceNow <- struct{}{}:
	default:
	}
}

// announceLoop announces the target to its entries, at intervals and when it
// changes. At each interval another entry is first, in turn: its answer brings any
// change of the configuration, so that the answers of the others need not.
func (a *Agent) announceLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &sync.Map{}
	turn, changed := 0, true
	for ctx.Err() == nil {
		entries := a.recipients()
		if len(entries) > 0 && !changed {
			turn++
			select {
			case <-ctx.Done():
			case <-a.announceTo(ctx, &wg, busy, entries[turn%len(entries)]):
			case <-a.opts.Clock.After(firstAnswerWait):
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
		case <-a.announceNow:
			changed = true
		case <-a.opts.Clock.After(announceInterval):
		}
	}
}

// announceTo announces the target to an entry, unless an earlier announcement to
// it is still unanswered. The channel is closed when the announcement has ended.
func (a *Agent) announceTo(ctx context.Context, wg *sync.WaitGroup, busy *sync.Map, e wire.Node) <-chan struct{} {
	done := make(chan struct{})
	if _, inFlight := busy.LoadOrStore(e.Address, true); inFlight {
		close(done)
		return done
	}
	wg.Go(func() {
		defer close(done)
		defer busy.Delete(e.Address)
		a.recordAnswer(e, a.announce(ctx, e.Address))
	})
	return done
}

// recipients returns the entries to announce to: those chosen among the ones that the
// keepers know, and those that are cut off from the keepers but still answer this
// agent, since their work in progress goes on.
func (a *Agent) recipients() []wire.Node {
	known := a.finder.Nodes(keys.Entry)
	self := a.finder.Self()
	chosen := slices.Clone(peers.Choose(self.Name, self.DataCentre, known, maxEntries))
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, e := range a.reachable {
		if !slices.ContainsFunc(known, func(k wire.Node) bool { return k.Name == name }) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// recordAnswer records whether an entry has answered its last announcement.
func (a *Agent) recordAnswer(e wire.Node, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !answered {
		delete(a.reachable, e.Name)
	} else if _, known := a.reachable[e.Name]; known || len(a.reachable) < maxEntries {
		a.reachable[e.Name] = e
	}
}

// announce announces the target to the entry at addr and applies the configuration
// update in its answer. It reports whether the entry has answered.
func (a *Agent) announce(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	m := a.announcement()
	sent := a.opts.Clock.Now()
	r, err := a.node.Call(ctx, link.Dest{Address: addr, Role: keys.Entry}, m)
	if err != nil {
		a.opts.Log.Debug("entry did not answer an announcement", zap.String("address", addr), zap.Error(err))
		return false
	}
	announced, answered := r.(wire.Announced)
	if answered {
		a.opts.View.Apply(announced.Config, sent)
	}
	return answered
}

func (a *Agent) announcement() wire.Announce {
	m := wire.Announce{Self: a.finder.Self(), Version: a.opts.View.Config().Version()}
	a.mu.Lock()
	defer a.mu.Unlock()
	m.Free = a.core.Free()
	a.seq++
	m.Seq = a.seq
	m.Self.Leaving = a.draining
	if l := a.targetLease; l != nil && a.opts.Clock.Now().Before(l.ends) {
		m.Target = &l.target
	}
	return m
}

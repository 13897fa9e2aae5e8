package member

import (
	"context"
	"slices"
	"sync"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/wire"
)

// announcer holds what the announcements of an entry or a keeper need. The finder's mu
// protects its fields.
type announcer struct {
	// polled holds the addresses of the newest announcement.
	polled []string
	// asked holds the addresses that have not answered yet, so that a silent keeper has
	// one call in progress, however many announcements pass.
	asked map[string]bool
	// changed is set when the answers have changed since the last merge.
	changed bool
	calls   sync.WaitGroup
}

// announceLoop announces an entry or a keeper to all keepers. The leader judges by the
// age of an announcement which keepers may become members, so that the loop waits for
// no answer: a lost keeper delays no announcement to the others.
func (f *Finder) announceLoop(ctx context.Context) {
	defer f.calls.Wait()
	leaving := f.leaving
	next := firstPause
	for ctx.Err() == nil {
		f.announce(ctx)
		select {
		case <-ctx.Done():
		case <-leaving:
			leaving = nil
		case <-f.clock.After(next):
			next = min(2*next, announceInterval)
		}
	}
}

// announce announces this process to the known keepers and to the join addresses.
func (f *Finder) announce(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge()
	f.polled = nil
	for _, n := range f.nodes(keys.Keeper) {
		f.polled = append(f.polled, n.Address)
	}
	for _, a := range f.joinAddrs {
		if !slices.Contains(f.polled, a) {
			f.polled = append(f.polled, a)
		}
	}
	for _, a := range f.polled {
		f.ask(ctx, a)
	}
}

// ask announces this process to one keeper, unless a call to it is in progress. The
// caller holds mu.
func (f *Finder) ask(ctx context.Context, addr string) {
	if f.asked[addr] {
		return
	}
	f.asked[addr] = true
	f.calls.Go(func() {
		for again := true; again; {
			again = f.askAndLearn(ctx, addr)
		}
	})
}

// askAndLearn announces this process to one keeper, and adds the processes that it
// lists to the known ones. It reports whether the keeper has to be asked again, since
// it was told of this process as it was before a change.
func (f *Finder) askAndLearn(ctx context.Context, addr string) (again bool) {
	self, answer, ok := f.askKeeper(ctx, addr, pollTimeout)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(ctx, answer.Nodes)
	if ok && !sameNode(self, f.self) {
		return true
	}
	delete(f.asked, addr)
	if len(f.asked) == 0 {
		f.merge()
	}
	return false
}

// learn adds processes to the known ones before all keepers have answered, and announces
// this process at once to the keepers among them that it has not been announced to: a
// keeper that has just started learns of the leader from its first answer. The caller
// holds mu.
func (f *Finder) learn(ctx context.Context, nodes []wire.Node) {
	for _, n := range nodes {
		if old, ok := f.known[n.Name]; ok && n.Incarnation <= old.Incarnation {
			continue
		}
		f.known[n.Name] = n
		if slices.Contains(n.Roles, string(keys.Keeper)) && !slices.Contains(f.polled, n.Address) {
			f.polled = append(f.polled, n.Address)
			f.ask(ctx, n.Address)
		}
	}
}

// merge sets the known processes to the union of the newest answers of the polled
// keepers. It runs once all keepers have answered, or at the next announcement. The
// caller holds mu.
func (f *Finder) merge() {
	if !f.changed {
		return
	}
	f.changed = false
	f.setKnown(f.union(f.polled))
}

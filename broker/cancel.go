package broker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cyclamenrelay.example/cancel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

const (
	// cancelTimeout bounds a cancel: the users' platforms allow 3 to 4 s from its
	// acknowledgement to the last start.
	cancelTimeout = 2500 * time.Millisecond
	// cancelRoundTimeout bounds one round of messages to the other entries.
	cancelRoundTimeout = 800 * time.Millisecond
	// cancelRetryInterval is the time between two rounds for one job.
	cancelRetryInterval = 200 * time.Millisecond
	// maxRoundJobs bounds the jobs of one message.
	maxRoundJobs = 512
)

// cancelRound is one round of messages to all other entries, for the jobs whose cancels came
// before it began.
type cancelRound struct {
	jobs []string
	done chan struct{}
	// ended has the jobs that were in progress at another entry, missed the number
	// of entries that have not confirmed the round. Both are set before done is closed.
	ended  []string
	missed int
}

// CancelEverywhere cancels a job at all entries: if the error is nil, nothing more of it
// starts, also if it is submitted again within cancel.TTL. It reports whether the job was in
// progress. The error is a trace.LimitExceeded when too many jobs were cancelled, or a
// trace.ConnectionProblem when not all entries have confirmed it in time.
func (b *Broker) CancelEverywhere(ctx context.Context, id string) (found bool, err error) {
	// Other entries must hear of it even if the caller has left.
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	found, ok := b.cancelHere(id)
	if !ok {
		return found, trace.LimitExceeded("too many jobs were cancelled")
	}
	for {
		r := b.joinCancelRound(id)
		if r == nil {
			return found, nil
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return found, trace.ConnectionProblem(ctx.Err(), "the other entries have not been asked in time")
		}
		found = found || slices.Contains(r.ended, id)
		if r.missed == 0 {
			return found, nil
		}
		select {
		case <-b.opts.Clock.After(cancelRetryInterval):
		case <-ctx.Done():
			return found, trace.ConnectionProblem(ctx.Err(), "%d entries have not confirmed it", r.missed)
		}
	}
}

// cancelHere cancels a job at this entry. It reports whether the job was in progress, and
// whether a copy that comes later is refused.
func (b *Broker) cancelHere(id string) (found, ok bool) {
	b.mu.Lock()
	ok = b.cancelled.Add(id, b.opts.Clock.Now())
	b.mu.Unlock()
	return b.Cancel(id), ok
}

// joinCancelRound adds a job to the next round, or returns nil for an entry without others.
func (b *Broker) joinCancelRound(id string) *cancelRound {
	if b.opts.Entries == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.nextRound
	if r == nil || len(r.jobs) >= maxRoundJobs {
		r = &cancelRound{done: make(chan struct{})}
		entries := b.opts.Entries()
		now := b.opts.Clock.Now()
		b.nextRoundAt = latest(now, b.nextRoundAt.Add(cancel.Interval(len(entries))))
		begin := b.opts.Clock.After(b.nextRoundAt.Sub(now))
		b.nextRound = r
		b.node.Go(func() { b.runCancelRound(r, begin) })
	}
	r.jobs = append(r.jobs, id)
	return r
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runCancelRound sends the round's jobs to all other entries when it is due.
func (b *Broker) runCancelRound(r *cancelRound, begin <-chan time.Time) {
	<-begin
	b.mu.Lock()
	if b.nextRound == r {
		b.nextRound = nil
	}
	jobs := r.jobs
	b.mu.Unlock()
	all := b.opts.Entries()
	a := b.relayCancel(jobs, b.others(all), cancelRoundTimeout)
	r.ended, r.missed = a.Jobs, a.Missed
	if len(all) == 0 {
		r.missed = 1 // the other entries are not known yet
	}
	if r.missed > 0 {
		b.opts.Log.Warn("cancel not confirmed by all entries", zap.Int("jobs", len(jobs)), zap.Int("entries", len(all)), zap.Int("missed", r.missed))
	}
	close(r.done)
}

// others returns the other entries in a fixed order that begins after this entry, so that each
// entry sends its cancels to the same few entries, and no entry gets those of all.
func (b *Broker) others(all []wire.Node) []wire.Node {
	out := make([]wire.Node, 0, len(all))
	for _, e := range all {
		if e.Name != b.opts.Name {
			out = append(out, wire.Node{Name: e.Name, Address: e.Address})
		}
	}
	slices.SortFunc(out, func(x, y wire.Node) int { return cmp.Compare(x.Name, y.Name) })
	i, _ := slices.BinarySearchFunc(out, b.opts.Name, func(e wire.Node, name string) int { return cmp.Compare(e.Name, name) })
	return slices.Concat(out[i:], out[:i])
}

// relayCancel passes a cancel on to other entries, and returns their common answer.
func (b *Broker) relayCancel(jobs []string, entries []wire.Node, timeout time.Duration) (sum wire.CancelJobs) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	parts := cancel.Split(entries)
	answers := make(chan wire.CancelJobs, len(parts))
	for _, p := range parts {
		b.node.Go(func() {
			// What the receiver passes on must come back before this call ends.
			m := wire.CancelJobs{Jobs: jobs, Relay: p[1:], Timeout: timeout * 3 / 4}
			answer, err := b.node.CallNode(ctx, p[0].Name, link.Dest{Address: p[0].Address, Role: keys.Entry}, m)
			a, ok := answer.(wire.CancelJobs)
			if err != nil || !ok {
				a = wire.CancelJobs{Missed: len(p)}
				b.opts.Log.Debug("entry did not confirm a cancel", zap.String("entry", p[0].Name), zap.Error(err))
			}
			answers <- a
		})
	}
	for range parts {
		a := <-answers
		sum.Jobs = append(sum.Jobs, a.Jobs...)
		sum.Missed += a.Missed
	}
	return sum
}

// handleCancel cancels jobs for another entry and passes the cancel on.
func (b *Broker) handleCancel(_ context.Context, _ link.Peer, m wire.CancelJobs) wire.Message {
	relayed := make(chan wire.CancelJobs, 1)
	b.node.Go(func() { relayed <- b.relayCancel(m.Jobs, m.Relay, min(m.Timeout, cancelRoundTimeout)) })
	var answer wire.CancelJobs
	for _, id := range m.Jobs {
		found, ok := b.cancelHere(id)
		if found {
			answer.Jobs = append(answer.Jobs, id)
		}
		if !ok {
			answer.Missed = 1
		}
	}
	r := <-relayed
	answer.Jobs, answer.Missed = append(answer.Jobs, r.Jobs...), answer.Missed+r.Missed
	return answer
}

package ledger

import (
	"cmp"
	"slices"
	"time"

	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// expiryItem is a record's place in an expiry queue. It is stale once the record
// has changed again, and so has a later item.
type expiryItem struct {
	key       string
	job       bool
	changeSeq uint64
	changedAt time.Duration
}

// queue is a first-in, first-out queue.
type queue struct {
	items []expiryItem
	head  int
}

func (q *queue) push(i expiryItem) {
	if q.head > len(q.items)/2 {
		q.items = slices.Clone(q.items[q.head:])
		q.head = 0
	}
	q.items = append(q.items, i)
}

func (q *queue) first() (expiryItem, bool) {
	if q.head == len(q.items) {
		return expiryItem{}, false
	}
	return q.items[q.head], true
}

func (q *queue) pop() {
	q.items[q.head] = expiryItem{}
	q.head++
}

func (l *Ledger) enqueue(i expiryItem, s Status) {
	if s != Open {
		l.finishedQueue.push(i)
		return
	}
	l.openQueue.push(i)
	if len(l.openQueue.items) > 2*l.limits.Records+maxDropsPerExpire {
		l.openQueue.items = slices.DeleteFunc(slices.Clone(l.openQueue.items[l.openQueue.head:]), l.stale)
		l.openQueue.head = 0
	}
}

func (l *Ledger) stale(i expiryItem) bool {
	if i.job {
		j := l.jobs[i.key]
		return j == nil || j.ChangeSeq > i.changeSeq
	}
	c := l.claims[i.key]
	return c == nil || c.ChangeSeq > i.changeSeq
}

// expire drops at most n records past their retention, finished ones first, and
// returns their number.
func (l *Ledger) expire(n int) int {
	dropped := l.expireQueue(&l.finishedQueue, l.limits.Finished, n)
	return dropped + l.expireQueue(&l.openQueue, l.limits.Open, n-dropped)
}

func (l *Ledger) expireQueue(q *queue, retention time.Duration, n int) int {
	dropped := 0
	for {
		i, ok := q.first()
		switch {
		case !ok:
			return dropped
		case l.stale(i):
			q.pop()
		case dropped == n || l.now-i.changedAt < retention:
			return dropped
		default:
			q.pop()
			l.dropRecord(i)
			dropped++
		}
	}
}

func (l *Ledger) dropRecord(i expiryItem) {
	if i.job {
		l.bytes -= l.jobs[i.key].size()
		delete(l.jobs, i.key)
	} else {
		l.bytes -= l.claims[i.key].size()
		delete(l.claims, i.key)
	}
	state.Invariant(l.bytes >= 0, "the ledger's size in bytes is negative")
}

const snapshotFormat = 1

type snapshot struct {
	Format    int           `cbor:"1,keyasint"`
	Limits    Limits        `cbor:"2,keyasint"`
	Now       time.Duration `cbor:"3,keyasint"`
	ChangeSeq uint64        `cbor:"4,keyasint"`
	// Jobs and Claims hold the records in the order of ChangeSeq, in chunks.
	Jobs   [][]Job   `cbor:"5,keyasint,omitempty"`
	Claims [][]Claim `cbor:"6,keyasint,omitempty"`
}

// chunkLen is the number of records in a chunk of a snapshot, below the decoder's
// limit on the elements of an array.
const chunkLen = 1 << 14

// Snapshot implements state.Machine.
func (l *Ledger) Snapshot() []byte {
	s := snapshot{Format: snapshotFormat, Limits: l.limits, Now: l.now, ChangeSeq: l.changeSeq}
	jobs := make([]Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		jobs = append(jobs, *j)
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.ChangeSeq, b.ChangeSeq) })
	claims := make([]Claim, 0, len(l.claims))
	for _, c := range l.claims {
		claims = append(claims, *c)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.ChangeSeq, b.ChangeSeq) })
	s.Jobs = slices.Collect(slices.Chunk(jobs, chunkLen))
	s.Claims = slices.Collect(slices.Chunk(claims, chunkLen))
	b, err := wire.MarshalValue(s)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore implements state.Machine.
func (l *Ledger) Restore(b []byte) error {
	var s snapshot
	if err := wire.UnmarshalValue(b, &s); err != nil {
		return trace.Wrap(err)
	}
	if s.Format != snapshotFormat {
		return trace.BadParameter("ledger snapshot of format %d, %d is known", s.Format, snapshotFormat)
	}
	if reason := invalidReason(SetLimits{s.Limits}); reason != "" {
		return trace.BadParameter("ledger snapshot: %s", reason)
	}
	n := New()
	n.limits, n.now, n.changeSeq = s.Limits, s.Now, s.ChangeSeq
	seen := map[uint64]bool{}
	for _, j := range slices.Concat(s.Jobs...) {
		if n.jobs[j.Key] != nil || seen[j.ChangeSeq] || j.ChangeSeq > s.ChangeSeq || !j.valid() {
			return trace.BadParameter("ledger snapshot: job %q does not fit", j.Key)
		}
		seen[j.ChangeSeq] = true
		n.jobs[j.Key] = &j
		n.bytes += j.size()
	}
	for _, c := range slices.Concat(s.Claims...) {
		if n.claims[c.Key] != nil || seen[c.ChangeSeq] || c.ChangeSeq > s.ChangeSeq || !c.valid() {
			return trace.BadParameter("ledger snapshot: claim %q does not fit", c.Key)
		}
		seen[c.ChangeSeq] = true
		n.claims[c.Key] = &c
		n.bytes += c.size()
	}
	n.rebuildQueues()
	*l = *n
	return nil
}

func (l *Ledger) rebuildQueues() {
	for _, j := range l.jobs {
		l.appendItem(expiryItem{j.Key, true, j.ChangeSeq, j.ChangedAt}, j.Status)
	}
	for _, c := range l.claims {
		l.appendItem(expiryItem{c.Key, false, c.ChangeSeq, c.ChangedAt}, c.Status)
	}
	for _, q := range []*queue{&l.openQueue, &l.finishedQueue} {
		slices.SortFunc(q.items, func(a, b expiryItem) int { return cmp.Compare(a.changeSeq, b.changeSeq) })
	}
}

func (l *Ledger) appendItem(i expiryItem, s Status) {
	if s == Open {
		l.openQueue.items = append(l.openQueue.items, i)
	} else {
		l.finishedQueue.items = append(l.finishedQueue.items, i)
	}
}

func (j Job) valid() bool {
	return j.Status >= Open && j.Status <= Failed && j.Epoch > 0 && len(j.Agents) <= MaxAgents && j.Tasks > 0
}

func (c Claim) valid() bool { return c.Status >= Open && c.Status <= Failed }

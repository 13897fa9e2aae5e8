package ledger

import (
	"cmp"
	"slices"
	"time"

	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// item is a record's place in the order of expiry. It is stale once the
// record has another touch.
type item struct {
	key   string
	job   bool
	touch uint64
	at    time.Duration
}

// queue is a first-in, first-out queue.
type queue struct {
	items []item
	head  int
}

func (q *queue) push(i item) {
	if q.head > len(q.items)/2 {
		q.items = slices.Clone(q.items[q.head:])
		q.head = 0
	}
	q.items = append(q.items, i)
}

func (q *queue) first() (item, bool) {
	if q.head == len(q.items) {
		return item{}, false
	}
	return q.items[q.head], true
}

func (q *queue) pop() {
	q.items[q.head] = item{}
	q.head++
}

func (l *Ledger) enqueue(i item, s Status) {
	if s != Open {
		l.closed.push(i)
		return
	}
	l.open.push(i)
	if len(l.open.items) > 2*l.limits.Records+expireMost {
		l.open.items = slices.DeleteFunc(slices.Clone(l.open.items[l.open.head:]), l.stale)
		l.open.head = 0
	}
}

func (l *Ledger) stale(i item) bool {
	if i.job {
		j := l.jobs[i.key]
		return j == nil || j.Touch > i.touch
	}
	c := l.claims[i.key]
	return c == nil || c.Touch > i.touch
}

// expire drops at most n records that are past their retention.
func (l *Ledger) expire(n int) int {
	dropped := l.expireQueue(&l.closed, l.limits.Finished, n)
	return dropped + l.expireQueue(&l.open, l.limits.Open, n-dropped)
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
		case dropped == n || l.now-i.at < retention:
			return dropped
		default:
			q.pop()
			l.drop(i)
			dropped++
		}
	}
}

func (l *Ledger) drop(i item) {
	if i.job {
		l.bytes -= l.jobs[i.key].size()
		delete(l.jobs, i.key)
	} else {
		l.bytes -= l.claims[i.key].size()
		delete(l.claims, i.key)
	}
	state.Invariant(l.bytes >= 0, "the ledger's bytes are below 0")
}

const format = 1

type snapshot struct {
	Format int           `cbor:"1,keyasint"`
	Limits Limits        `cbor:"2,keyasint"`
	Now    time.Duration `cbor:"3,keyasint"`
	Touch  uint64        `cbor:"4,keyasint"`
	// Parts hold the records in the order of their touch.
	Jobs   [][]Job   `cbor:"5,keyasint,omitempty"`
	Claims [][]Claim `cbor:"6,keyasint,omitempty"`
}

// partLen is the number of records in a part of a snapshot.
const partLen = 1 << 14

// Snapshot returns the whole state.
func (l *Ledger) Snapshot() []byte {
	s := snapshot{Format: format, Limits: l.limits, Now: l.now, Touch: l.touch}
	jobs := make([]Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		jobs = append(jobs, *j)
	}
	slices.SortFunc(jobs, func(a, b Job) int { return cmp.Compare(a.Touch, b.Touch) })
	claims := make([]Claim, 0, len(l.claims))
	for _, c := range l.claims {
		claims = append(claims, *c)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Touch, b.Touch) })
	s.Jobs = slices.Collect(slices.Chunk(jobs, partLen))
	s.Claims = slices.Collect(slices.Chunk(claims, partLen))
	b, err := wire.MarshalValue(s)
	if err != nil {
		panic(err)
	}
	return b
}

// Restore replaces the state.
func (l *Ledger) Restore(b []byte) error {
	var s snapshot
	if err := wire.UnmarshalValue(b, &s); err != nil {
		return trace.Wrap(err)
	}
	if s.Format != format {
		return trace.BadParameter("ledger snapshot of format %d, %d is known", s.Format, format)
	}
	if reason := invalid(SetLimits{s.Limits}); reason != "" {
		return trace.BadParameter("ledger snapshot: %s", reason)
	}
	n := New()
	n.limits, n.now, n.touch = s.Limits, s.Now, s.Touch
	seen := map[uint64]bool{}
	for _, j := range slices.Concat(s.Jobs...) {
		if n.jobs[j.Key] != nil || seen[j.Touch] || j.Touch > s.Touch || !j.valid() {
			return trace.BadParameter("ledger snapshot: job %q does not fit", j.Key)
		}
		seen[j.Touch] = true
		n.jobs[j.Key] = &j
		n.bytes += j.size()
	}
	for _, c := range slices.Concat(s.Claims...) {
		if n.claims[c.Key] != nil || seen[c.Touch] || c.Touch > s.Touch || !c.valid() {
			return trace.BadParameter("ledger snapshot: claim %q does not fit", c.Key)
		}
		seen[c.Touch] = true
		n.claims[c.Key] = &c
		n.bytes += c.size()
	}
	n.rebuildQueues()
	*l = *n
	return nil
}

func (l *Ledger) rebuildQueues() {
	for _, j := range l.jobs {
		l.place(item{j.Key, true, j.Touch, j.Touched}, j.Status)
	}
	for _, c := range l.claims {
		l.place(item{c.Key, false, c.Touch, c.Touched}, c.Status)
	}
	for _, q := range []*queue{&l.open, &l.closed} {
		slices.SortFunc(q.items, func(a, b item) int { return cmp.Compare(a.touch, b.touch) })
	}
}

func (l *Ledger) place(i item, s Status) {
	if s == Open {
		l.open.items = append(l.open.items, i)
	} else {
		l.closed.items = append(l.closed.items, i)
	}
}

func (j Job) valid() bool {
	return j.Status >= Open && j.Status <= Failed && j.Epoch > 0 && len(j.Agents) <= MaxAgents && j.Tasks > 0
}

func (c Claim) valid() bool { return c.Status >= Open && c.Status <= Failed }

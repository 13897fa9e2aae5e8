package ledger

import (
	"bytes"
	"fmt"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// Bounds on the records dropped by one command, so that each runs for a short
// time only.
const (
	maxDropsPerCommand = 16   // by any other command
	maxDropsPerExpire  = 4096 // by Expire
)

// Ledger is the state machine of jobs and claims. It implements state.Machine;
// its methods must not be called concurrently.
type Ledger struct {
	limits        Limits
	now           time.Duration
	changeSeq     uint64
	bytes         int
	jobs          map[string]*Job
	claims        map[string]*Claim
	openQueue     queue
	finishedQueue queue
}

var _ state.Machine = (*Ledger)(nil)

// New returns an empty ledger with the default limits.
func New() *Ledger {
	return &Ledger{limits: DefaultLimits, jobs: map[string]*Job{}, claims: map[string]*Claim{}}
}

// Apply executes a Command and returns a Result.
func (l *Ledger) Apply(_ uint64, now time.Duration, command []byte) []byte {
	l.now = max(l.now, now)
	c, err := Commands.Decode(command)
	if err != nil {
		return Results.MustEncode(Invalid{err.Error()})
	}
	if reason := invalidReason(c); reason != "" {
		return Results.MustEncode(Invalid{reason})
	}
	maxExpired := maxDropsPerCommand
	if _, ok := c.(Expire); ok {
		maxExpired = maxDropsPerExpire
	}
	expired := l.expire(maxExpired)
	return Results.MustEncode(l.execute(c, expired))
}

func (l *Ledger) execute(c Command, expired int) Result {
	switch c := c.(type) {
	case OpenJob:
		return l.openJob(c)
	case TakeJob:
		return l.takeJob(c)
	case AddAgents:
		return l.addAgents(c)
	case FinishJob:
		return l.finishJob(c)
	case OpenClaim:
		return l.openClaim(c)
	case FinishClaim:
		return l.finishClaim(c)
	case ReleaseClaim:
		return l.releaseClaim(c)
	case Expire:
		return Expired{expired}
	case SetLimits:
		l.limits = c.Limits
		return l.Usage()
	}
	panic(fmt.Sprintf("ledger command %T", c))
}

// Query answers a Query.
func (l *Ledger) Query(query []byte) []byte {
	q, err := Queries.Decode(query)
	if err != nil {
		return Results.MustEncode(Invalid{err.Error()})
	}
	var r Result = l.Usage()
	switch q := q.(type) {
	case GetJob:
		r = jobResult(Exists, l.jobs[q.Key])
	case GetClaim:
		r = claimResult(Exists, l.claims[q.Key])
	}
	return Results.MustEncode(r)
}

// Usage returns the limits and the number and size of the records.
func (l *Ledger) Usage() Usage {
	return Usage{Limits: l.limits, Jobs: len(l.jobs), Claims: len(l.claims), Bytes: l.bytes}
}

func jobResult(v Verdict, j *Job) Result {
	if j == nil {
		v = Missing
	}
	return JobResult{v, j}
}

func claimResult(v Verdict, c *Claim) Result {
	if c == nil {
		v = Missing
	}
	return ClaimResult{v, c}
}

func (l *Ledger) full(size int) bool {
	return len(l.jobs)+len(l.claims) >= l.limits.Records || l.bytes+size > l.limits.Bytes
}

// fitsAnswer reports whether an answer of size bytes can be kept.
func (l *Ledger) fitsAnswer(size int) bool {
	return size <= MaxAnswer && l.bytes+size <= l.limits.Bytes
}

func (l *Ledger) openJob(c OpenJob) Result {
	if old := l.jobs[c.Key]; old != nil {
		if !bytes.Equal(old.Digest, c.Digest) || old.Tasks != c.Tasks {
			return JobResult{Conflict, old}
		}
		return JobResult{Exists, old}
	}
	j := Job{Key: c.Key, Digest: c.Digest, Owner: c.Owner, Epoch: 1, Tasks: c.Tasks, Status: Open, Opened: l.now}
	j = j.withAgents(c.Agents)
	if l.full(j.size()) {
		return JobResult{Verdict: Full}
	}
	return JobResult{Done, l.putJob(j, true)}
}

func (l *Ledger) takeJob(c TakeJob) Result {
	j := l.jobs[c.Key]
	switch {
	case j == nil:
		return JobResult{Verdict: Missing}
	case j.Status != Open:
		return JobResult{Finished, j}
	case c.Epoch < j.Epoch && j.ownedBy(c.Owner, c.Epoch+1):
		return JobResult{Done, j} // a resend
	case j.Epoch != c.Epoch:
		return JobResult{Fenced, j}
	}
	return JobResult{Done, l.putJob(j.withOwner(c.Owner), true)}
}

func (l *Ledger) addAgents(c AddAgents) Result {
	j := l.jobs[c.Key]
	switch {
	case j == nil:
		return JobResult{Verdict: Missing}
	case j.Status != Open:
		return JobResult{Finished, j}
	case !j.ownedBy(c.Owner, c.Epoch):
		return JobResult{Fenced, j}
	}
	next := j.withAgents(c.Agents)
	if len(next.Agents) > MaxAgents {
		return JobResult{Full, j}
	}
	return JobResult{Done, l.putJob(next, false)}
}

func (l *Ledger) finishJob(c FinishJob) Result {
	j := l.jobs[c.Key]
	switch {
	case j == nil:
		return JobResult{Verdict: Missing}
	case j.Status != Open:
		return JobResult{Finished, j}
	case !j.ownedBy(c.Owner, c.Epoch):
		return JobResult{Fenced, j}
	case len(c.Outcomes) != j.Tasks:
		return Invalid{fmt.Sprintf("%d outcomes for %d tasks", len(c.Outcomes), j.Tasks)}
	}
	next := *j
	next.Status, next.Outcomes, next.Finished = c.Status, c.Outcomes, l.now
	next.Agents = nil // only a new owner of an open job needs them
	if l.fitsAnswer(len(c.Answer)) && len(c.Answer)+len(c.Outcomes) <= MaxAnswer {
		next.Answer, next.AnswerKept = c.Answer, true
	}
	return JobResult{Done, l.putJob(next, true)}
}

func (l *Ledger) openClaim(c OpenClaim) Result {
	old := l.claims[c.Key]
	switch {
	case old == nil:
	case !bytes.Equal(old.Digest, c.Digest):
		return ClaimResult{Conflict, old}
	case old.Status == Open && old.heldBy(c.Owner, c.ID):
		return ClaimResult{Done, old} // a resend
	default:
		return ClaimResult{Exists, old}
	}
	n := Claim{Key: c.Key, Digest: c.Digest, ID: c.ID, Owner: c.Owner, Status: Open, Opened: l.now}
	if l.full(n.size()) {
		return ClaimResult{Verdict: Full}
	}
	return ClaimResult{Done, l.putClaim(n)}
}

func (l *Ledger) finishClaim(c FinishClaim) Result {
	old := l.claims[c.Key]
	switch {
	case old == nil:
		return ClaimResult{Verdict: Missing}
	case old.Status != Open:
		return ClaimResult{Finished, old}
	case !old.heldBy(c.Owner, c.ID):
		return ClaimResult{Fenced, old}
	}
	next := *old
	next.Status, next.Failed, next.Finished = Failed, c.Failed, l.now
	if c.Complete != nil {
		answer := *c.Complete
		next.Status, next.BodyKept = Complete, l.fitsAnswer(len(answer.Body))
		if !next.BodyKept {
			answer = model.Complete{Status: answer.Status, Target: answer.Target, Type: answer.Type}
		}
		next.Complete = &answer
	}
	return ClaimResult{Done, l.putClaim(next)}
}

func (l *Ledger) releaseClaim(c ReleaseClaim) Result {
	old := l.claims[c.Key]
	switch {
	case old == nil:
		return ClaimResult{Verdict: Missing}
	case !old.heldBy(c.Owner, c.ID):
		return ClaimResult{Fenced, old}
	case old.Status != Open:
		return ClaimResult{Finished, old}
	}
	l.bytes -= old.size()
	delete(l.claims, c.Key)
	return ClaimResult{Verdict: Done}
}

// putJob stores j and updates the size of the ledger. The retention of j restarts
// if restartRetention is set.
func (l *Ledger) putJob(j Job, restartRetention bool) *Job {
	if old := l.jobs[j.Key]; old != nil {
		old.checkSuccessor(j)
		l.bytes -= old.size()
	}
	if restartRetention {
		l.changeSeq++
		j = j.withChange(l.changeSeq, l.now)
	}
	l.bytes += j.size()
	l.jobs[j.Key] = &j
	if restartRetention {
		l.enqueue(expiryItem{j.Key, true, j.ChangeSeq, j.ChangedAt}, j.Status)
	}
	return &j
}

// putClaim stores c, updates the size of the ledger and restarts the retention
// of c.
func (l *Ledger) putClaim(c Claim) *Claim {
	if old := l.claims[c.Key]; old != nil {
		old.checkSuccessor(c)
		l.bytes -= old.size()
	}
	l.changeSeq++
	c = c.withChange(l.changeSeq, l.now)
	l.bytes += c.size()
	l.claims[c.Key] = &c
	l.enqueue(expiryItem{c.Key, false, c.ChangeSeq, c.ChangedAt}, c.Status)
	return &c
}

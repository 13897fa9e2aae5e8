package gauge

import "time"

// Pace measures the service rate of a share's queue.
type Pace struct {
	last     time.Time // last start of queued work, zero once the queue was empty
	interval float64   // mean seconds between starts while work is queued
}

// paceStep is the weight of the newest interval in the mean.
const paceStep = 0.05

// Served records that queued work was started at now. more tells whether other work
// is still queued; the time from an empty queue to the next start is not measured.
func (p *Pace) Served(now time.Time, more bool) {
	if !p.last.IsZero() {
		d := now.Sub(p.last).Seconds()
		if p.interval == 0 {
			p.interval = d
		}
		p.interval += paceStep * (d - p.interval)
	}
	p.last = now
	if !more {
		p.last = time.Time{}
	}
}

// Wait estimates how long the n-th queued task waits; 0 while nothing was measured.
func (p *Pace) Wait(n int) time.Duration {
	return time.Duration(float64(n) * p.interval * float64(time.Second))
}

// Budget is a token bucket that bounds the retries and hedges of one share.
type Budget struct{ tokens float64 }

// budgetBurst is the size of the bucket: the most retries without a start between them.
const budgetBurst = 10

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Earn adds the tokens that one start earns, such as 0.1.
func (b *Budget) Earn(ratio float64) { b.tokens = min(budgetBurst, b.tokens+ratio) }

// Spend takes the token for one retry or hedge, and returns false when there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds the budgets of shares by name.
type Budgets map[string]*Budget

// Of returns the budget of a share; a new one is full.
func (m Budgets) Of(share string) *Budget {
	b := m[share]
	if b == nil {
		b = NewBudget()
		m[share] = b
	}
	return b
}

// Paces holds the service rates of shares by name.
type Paces map[string]*Pace

// Of returns the service rate of a share.
func (m Paces) Of(share string) *Pace {
	p := m[share]
	if p == nil {
		p = &Pace{}
		m[share] = p
	}
	return p
}

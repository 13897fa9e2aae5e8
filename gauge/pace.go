package gauge

import "time"

// Pace measures how fast a share's queue is served.
type Pace struct {
	last     time.Time
	interval float64 // seconds between services while work waits
}

// paceStep is the weight of the newest interval.
const paceStep = 0.05

// Served notes that queued work was started; more says whether work still waits.
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

// Wait estimates how long the n-th queued task waits.
func (p *Pace) Wait(n int) time.Duration {
	return time.Duration(float64(n) * p.interval * float64(time.Second))
}

// Budget bounds the retries and hedges of one share.
type Budget struct{ tokens float64 }

// budgetBurst is the most retries in a row.
const budgetBurst = 10

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Earn adds the part of a retry that one start earns.
func (b *Budget) Earn(ratio float64) { b.tokens = min(budgetBurst, b.tokens+ratio) }

// Spend takes one retry, and returns false when there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds the budgets of shares by name.
type Budgets map[string]*Budget

// Of returns the budget of a share.
func (m Budgets) Of(share string) *Budget {
	b := m[share]
	if b == nil {
		b = NewBudget()
		m[share] = b
	}
	return b
}

// Paces holds the paces of shares by name.
type Paces map[string]*Pace

// Of returns the pace of a share.
func (m Paces) Of(share string) *Pace {
	p := m[share]
	if p == nil {
		p = &Pace{}
		m[share] = p
	}
	return p
}

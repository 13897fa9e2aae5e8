package stats

import "time"

// ServiceRate measures the service rate of a share's queue.
type ServiceRate struct {
	lastStart time.Time // last start of queued work, zero once the queue was empty
	interval  float64   // mean seconds between starts while work is queued
}

// intervalStep is the weight of the newest interval in the mean.
const intervalStep = 0.05

// RecordStart records that queued work was started at now. more tells whether other work
// is still queued; the time from an empty queue to the next start is not measured.
func (p *ServiceRate) RecordStart(now time.Time, more bool) {
	if !p.lastStart.IsZero() {
		d := now.Sub(p.lastStart).Seconds()
		if p.interval == 0 {
			p.interval = d
		}
		p.interval += intervalStep * (d - p.interval)
	}
	p.lastStart = now
	if !more {
		p.lastStart = time.Time{}
	}
}

// Wait estimates how long the n-th queued task waits; 0 while nothing was measured.
func (p *ServiceRate) Wait(n int) time.Duration {
	return time.Duration(float64(n) * p.interval * float64(time.Second))
}

// RetryBudget is a token bucket that bounds the retries and hedges of one share.
type RetryBudget struct{ tokens float64 }

// budgetBurst is the size of the bucket: the most retries without a start between them.
const budgetBurst = 10

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: budgetBurst} }

// Earn adds the tokens that one start earns, such as 0.1.
func (b *RetryBudget) Earn(ratio float64) { b.tokens = min(budgetBurst, b.tokens+ratio) }

// Spend takes the token for one retry or hedge, and returns false when there is none.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryBudgets holds the retry budgets of shares by name.
type RetryBudgets map[string]*RetryBudget

// Of returns the budget of a share; a new one is full.
func (m RetryBudgets) Of(share string) *RetryBudget {
	b := m[share]
	if b == nil {
		b = NewRetryBudget()
		m[share] = b
	}
	return b
}

// ServiceRates holds the service rates of shares by name.
type ServiceRates map[string]*ServiceRate

// Of returns the service rate of a share.
func (m ServiceRates) Of(share string) *ServiceRate {
	p := m[share]
	if p == nil {
		p = &ServiceRate{}
		m[share] = p
	}
	return p
}

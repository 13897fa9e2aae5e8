package entry

import (
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// budget limits the memory for the bodies of all requests in progress.
type budget struct {
	mu        sync.Mutex
	available int64 // bytes
}

// acquire charges n bytes to the budget, unless fewer are available.
func (b *budget) acquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.available {
		return false
	}
	b.available -= n
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

// reservation is the part of a budget that one request holds.
type reservation struct {
	limit *budget
	bytes int64
	// exhausted is set when a read exceeded the budget.
	exhausted bool
}

// release returns the request's bytes to the budget.
func (s *reservation) release() { s.limit.release(s.bytes) }

// reader returns r with each byte that is read charged to the budget. Reads fail
// with a trace.LimitExceeded when the budget is exhausted.
func (s *reservation) reader(r io.Reader) io.Reader { return &chargedReader{r, s} }

type chargedReader struct {
	r io.Reader
	s *reservation
}

// Read implements io.Reader.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if n > 0 && !c.s.limit.acquire(int64(n)) {
		c.s.exhausted = true
		return 0, trace.LimitExceeded("the bodies of the requests in progress exceed the entry's limit")
	}
	c.s.bytes += int64(n)
	return n, err
}

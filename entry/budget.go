package entry

import (
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// budget limits the memory for the bodies of all requests in progress.
type budget struct {
	mu   sync.Mutex
	left int64 // bytes
}

// take charges n bytes to the budget unless fewer are left.
func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// share is the part of a budget that one request holds.
type share struct {
	b    *budget
	held int64 // bytes
	// full is set when the budget was exhausted.
	full bool
}

// release returns the request's bytes to the budget.
func (s *share) release() { s.b.give(s.held) }

// reader returns r with each byte that is read charged to the budget. Reads fail
// with a trace.LimitExceeded when the budget is exhausted.
func (s *share) reader(r io.Reader) io.Reader { return &chargedReader{r, s} }

type chargedReader struct {
	r io.Reader
	s *share
}

// Read implements io.Reader.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if n > 0 && !c.s.b.take(int64(n)) {
		c.s.full = true
		return 0, trace.LimitExceeded("the bodies of the requests in progress exceed the entry's limit")
	}
	c.s.held += int64(n)
	return n, err
}

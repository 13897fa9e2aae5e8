package entry

import (
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// budget bounds the bytes of the bodies of all requests in progress.
type budget struct {
	mu   sync.Mutex
	left int64
}

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

// share is what one request holds of a budget.
type share struct {
	b    *budget
	held int64
	// full is set when the budget did not suffice.
	full bool
}

// release gives back what the request holds.
func (s *share) release() { s.b.give(s.held) }

// reader returns r with each byte charged to the budget. The error is a
// trace.LimitExceeded when the budget does not suffice.
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
		return 0, trace.LimitExceeded("too many bytes of requests are in progress")
	}
	c.s.held += int64(n)
	return n, err
}

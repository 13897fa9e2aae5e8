package logs_test

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/logs"
)

// A reader that does not read must not block the code that logs.
func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	out := logs.NewWriter(w)
	log, err := logs.New(out, "info")
	assert.NilError(t, err)
	for i := range 50_000 {
		log.Info("job ended", zap.Int("job", i))
	}
	out.Close()
}

// slowReader is a slow log reader: its Write blocks until open is closed.
type slowReader struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *slowReader) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *slowReader) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

func TestDroppedLinesAreReported(t *testing.T) {
	g := &slowReader{open: make(chan struct{})}
	w := logs.NewWriter(g)
	const sent = 10_000
	for range sent {
		_, err := w.Write([]byte("event=x\n"))
		assert.NilError(t, err)
	}
	close(g.open)
	for !strings.Contains(g.String(), "lines dropped") {
		_, err := w.Write([]byte("event=y\n"))
		assert.NilError(t, err)
	}
	w.Close()
	kept := strings.Count(g.String(), "event=x")
	assert.Assert(t, kept > 0 && kept < sent)
}

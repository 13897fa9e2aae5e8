package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxLines bounds the lines that are buffered for a slow reader: about 1 s of the log
// of the busiest process.
const maxLines = 4096

// closeTimeout bounds how long Close waits for the buffered lines to be written.
const closeTimeout = 200 * time.Millisecond

// Writer is an asynchronous writer that never blocks the code that logs. When the
// reader is too slow and the buffer is full, it drops lines and counts them.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int // lines dropped since the last one that was buffered
	closing bool
}

// NewWriter returns a Writer to out, which its Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run()
	return w
}

// run writes the buffered lines to out until Close.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		// The error is ignored: only the log itself could report it.
		_, _ = w.out.Write(b)
	}
}

// Write implements io.Writer. It never blocks and returns no error.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	if w.dropped > 0 {
		line = append(line, fmt.Sprintf("level=warn event=\"log lines dropped\" lines=%d\n", w.dropped)...)
	}
	select {
	case w.lines <- line:
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(b), nil
}

// Close writes the buffered lines for at most closeTimeout. Lines written after it
// are discarded.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closing = true
	close(w.lines)
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

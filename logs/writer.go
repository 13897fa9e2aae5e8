package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// maxLines bounds the lines that wait for a slow reader: about a second of the
// busiest process.
const maxLines = 4096

// closeTimeout bounds how long the last lines may take to be read.
const closeTimeout = 200 * time.Millisecond

// Writer passes lines on without ever blocking who logs: when the reader is too
// slow, lines are left out and counted.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	left    int // lines left out since the last one that was passed on
	closing bool
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		// Nobody could be told of a failed write but by a log line.
		_, _ = w.out.Write(b)
	}
}

// Write implements io.Writer; it returns no error.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return len(b), nil
	}
	line := append([]byte(nil), b...)
	if w.left > 0 {
		line = append(line, fmt.Sprintf("level=warn event=\"log lines left out\" lines=%d\n", w.left)...)
	}
	select {
	case w.lines <- line:
		w.left = 0
	default:
		w.left++
	}
	return len(b), nil
}

// Close passes on what waits, for as long as a bound allows.
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

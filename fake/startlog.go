package fake

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// The events of a start log.
const (
	EventStart      = "start"
	EventEnd        = "end"
	EventCheckpoint = "checkpoint"
)

// LogRecord is one line of a start log.
type LogRecord struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Task  string    `json:"task"`
	// Target names the target that wrote the record.
	Target string `json:"target"`
	// Job is the Relay-Job header, empty when there was none.
	Job string `json:"job,omitempty"`
	// Request is the caller's own identifier from the task's body.
	Request string `json:"request,omitempty"`
	// Outcome says how the task ended: complete, failed, stopped or expired.
	Outcome string `json:"outcome,omitempty"`
}

// startLog appends records to a start log, the file of a target's task starts and ends.
type startLog struct {
	mu sync.Mutex
	w  io.Writer
}

// write appends r as one line with a single call of Write.
func (j *startLog) write(r LogRecord) error {
	if j.w == nil {
		return nil
	}
	b, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, err = j.w.Write(append(b, '\n'))
	return trace.Wrap(err)
}

// ReadStartLog returns the records of a start log. A torn last line, left by a
// killed process, is dropped; any other invalid line is a trace.BadParameter.
func ReadStartLog(r io.Reader) ([]LogRecord, error) {
	var out []LogRecord
	dec := json.NewDecoder(r)
	for {
		var rec LogRecord
		err := dec.Decode(&rec)
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF:
			return out, nil
		case err != nil:
			return nil, trace.BadParameter("start log, record %d: %v", len(out)+1, err)
		}
		out = append(out, rec)
	}
}

package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/units"

	"github.com/gravitational/trace"
)

const maxControlBody = 1 << 16 // bytes

// Handler serves the protocols of the target and of the platform, and GET and
// PUT /v1/mode, which answer also while the target is frozen.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{id}", t.holdWhileFrozen(t.serveTask))
	mux.HandleFunc("PUT /v1/tasks/{id}/lease", t.holdWhileFrozen(t.serveLease))
	mux.HandleFunc("POST /v1/tasks/{id}/stop", t.holdWhileFrozen(t.serveStop))
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", t.holdWhileFrozen(t.serveCheckpoint))
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", t.holdWhileFrozen(t.serveThrottle))
	mux.HandleFunc("GET /v1/usage", t.holdWhileFrozen(t.serveUsage))
	mux.HandleFunc("GET /v1/mode", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Mode()) })
	mux.HandleFunc("PUT /v1/mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		if err := readJSON(w, r, &m); err != nil {
			writeError(w, err)
			return
		}
		if err := t.SetMode(m); err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, m)
	})
	return mux
}

// holdWhileFrozen delays requests until the target is no longer frozen.
func (t *Target) holdWhileFrozen(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-t.unfrozenChan():
			h(w, r)
		case <-r.Context().Done():
		}
	}
}

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, model.MaxBody))
	if err != nil {
		writeError(w, trace.BadParameter("task body: %v", err))
		return
	}
	var lease time.Duration
	if s := r.Header.Get("Relay-Lease"); s != "" {
		if lease, err = time.ParseDuration(s); err != nil {
			refuseTask(w, http.StatusBadRequest, "Relay-Lease: "+err.Error())
			return
		}
	}
	k, err := t.startTask(r.PathValue("id"), r.Header.Get("Relay-Job"), body, lease)
	if err != nil {
		refuseTask(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if k == nil {
		refuseTask(w, http.StatusTooManyRequests, "no free slot, or the target is leaving")
		return
	}
	end := k.waitForEnd(t.clock)
	if end == endComplete && k.spec.Fail {
		end = endFailed
	}
	// A frozen target neither logs the end nor answers.
	<-t.unfrozenChan()
	if err := t.finishTask(k, end); err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, k, end)
}

// refuseTask answers that the task was not started.
func refuseTask(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Relay-Outcome", "notRun")
	http.Error(w, reason, status)
}

func writeAnswer(w http.ResponseWriter, k *task, end string) {
	if end != endComplete {
		http.Error(w, "task "+k.id+" "+end, http.StatusInternalServerError)
		return
	}
	b, err := json.Marshal(struct {
		Task    string `json:"task"`
		Request string `json:"request,omitempty"`
		Bytes   int    `json:"bytes"`
	}{k.id, k.spec.Request, k.spec.AnswerBytes})
	if err != nil {
		writeError(w, err)
		return
	}
	if n := k.spec.AnswerBytes - len(b); n > 0 {
		b = append(b, strings.Repeat(" ", n)...)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (t *Target) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Lease units.Duration `json:"lease"`
	}
	t.updateTask(w, r, &in, func(k *task) { k.expires = t.clock.Now().Add(in.Lease.Std()) })
}

func (t *Target) serveStop(w http.ResponseWriter, r *http.Request) {
	t.updateTask(w, r, nil, func(k *task) { k.stopped = true })
}

func (t *Target) serveThrottle(w http.ResponseWriter, r *http.Request) {
	in := struct {
		Share float64 `json:"share"`
	}{-1}
	k, err := t.runningTask(r.PathValue("id"))
	if err == nil {
		err = readJSON(w, r, &in)
	}
	if err == nil && (in.Share < 0 || in.Share > 1) {
		err = trace.BadParameter("share %v is not within 0 to 1", in.Share)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	k.update(t.clock.Now(), func() { k.cpuShare = in.Share })
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveCheckpoint(w http.ResponseWriter, r *http.Request) {
	k, err := t.runningTask(r.PathValue("id"))
	if err == nil {
		err = t.logEvent(k, EventCheckpoint, "")
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct {
		ID   string  `json:"id"`
		Done float64 `json:"done"`
	}{k.id, k.progress(t.clock.Now())})
}

func (t *Target) serveUsage(w http.ResponseWriter, _ *http.Request) {
	at, tasks := t.usageReport()
	writeJSON(w, struct {
		At    time.Time   `json:"at"`
		Tasks []taskUsage `json:"tasks"`
	}{at, tasks})
}

// updateTask reads the body into v, unless v is nil, and applies f to the
// running task named in the path.
func (t *Target) updateTask(w http.ResponseWriter, r *http.Request, v any, f func(*task)) {
	k, err := t.runningTask(r.PathValue("id"))
	if err == nil && v != nil {
		err = readJSON(w, r, v)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	k.update(t.clock.Now(), func() { f(k) })
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return trace.BadParameter("body: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	http.Error(w, trace.UserMessage(err), trace.ErrorToCode(err))
}

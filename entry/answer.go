package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
)

// HeaderOutcome is the header with the outcome in each response to a caller.
const HeaderOutcome = "Relay-Outcome"

// writeOutcome responds to a caller with an outcome: status 200 and the target's
// answer for Complete, else an error status and a JSON body with the reason and
// whether the task may have run.
func writeOutcome(w http.ResponseWriter, o model.Outcome) {
	h := w.Header()
	h.Set(HeaderOutcome, model.OutcomeName(o))
	meter.Answers(model.OutcomeName(o)).Inc()
	switch o := o.(type) {
	case model.Complete:
		if o.Type != "" {
			h.Set("Content-Type", o.Type)
		}
		h.Set("Relay-Target", o.Target)
		h.Set("Content-Length", strconv.Itoa(len(o.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(o.Body)
	case model.Failed:
		h.Set("Relay-Target", o.Target)
		writeJSON(w, http.StatusBadGateway, struct {
			Outcome      string `json:"outcome"`
			Reason       string `json:"reason"`
			MayHaveRun   bool   `json:"mayHaveRun"`
			TargetStatus int    `json:"targetStatus,omitempty"`
		}{"failed", o.Reason, o.MayHaveRun, o.Status})
	case model.NotRun:
		if o.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
		}
		writeJSON(w, notRunStatus(o.Code), struct {
			Outcome string     `json:"outcome"`
			Code    model.Code `json:"code"`
			Reason  string     `json:"reason"`
		}{"notRun", o.Code, o.Reason})
	}
}

func notRunStatus(c model.Code) int {
	switch c {
	case model.CodeQueueFull, model.CodeBusy:
		return http.StatusTooManyRequests
	case model.CodeInvalid:
		return http.StatusBadRequest
	case model.CodeConflict:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// writeError responds to an invalid or too large request, which was not run.
func writeError(w http.ResponseWriter, err error) {
	w.Header().Set(HeaderOutcome, "notRun")
	status := http.StatusBadRequest
	if trace.IsLimitExceeded(err) {
		status = http.StatusRequestEntityTooLarge
	}
	writeJSON(w, status, struct {
		Outcome string     `json:"outcome"`
		Code    model.Code `json:"code"`
		Reason  string     `json:"reason"`
	}{"notRun", model.CodeInvalid, trace.UserMessage(err)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/jobs"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"
)

// maxJobOverhead is how many bytes a submitted job may have besides its tasks'
// bodies.
const maxJobOverhead = 1 << 20

// submitJob handles POST /v1/jobs.
func (e *Entry) submitJob(w http.ResponseWriter, r *http.Request) {
	if refusal := e.beginRequest(); refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	defer e.endRequest()
	reserved := reservation{limit: e.bodyBudget}
	defer reserved.release()
	s, err := e.readSpec(w, r, &reserved)
	e.setWriteDeadline(w)
	switch {
	case reserved.exhausted:
		writeOutcome(w, overBudget())
		return
	case err != nil:
		writeError(w, err)
		return
	}
	st, refusal := e.jobs.Submit(r.Context(), s)
	e.setWriteDeadline(w)
	if refusal != nil {
		writeOutcome(w, *refusal)
		return
	}
	writeState(w, st, false)
}

// readSpec reads and checks a submitted job. The error names the invalid fields.
func (e *Entry) readSpec(w http.ResponseWriter, r *http.Request, reserved *reservation) (jobs.Spec, error) {
	var body struct {
		Key      string       `json:"key"`
		Labels   model.Labels `json:"labels"`
		Selector string       `json:"selector"`
		Urgency  int          `json:"urgency"`
		Deadline string       `json:"deadline"`
		RunTime  string       `json:"runTime"`
		Restart  bool         `json:"restart"`
		Tasks    []struct {
			Body []byte `json:"body"`
			Type string `json:"type"`
		} `json:"tasks"`
	}
	dec := json.NewDecoder(reserved.reader(http.MaxBytesReader(w, r.Body, 2*e.opts.MaxBody+maxJobOverhead)))
	dec.DisallowUnknownFields()
	err := dec.Decode(&body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return jobs.Spec{}, trace.LimitExceeded("body: more than %d bytes", large.Limit)
	}
	if err != nil {
		return jobs.Spec{}, trace.BadParameter("body: %v", err)
	}
	s := jobs.Spec{
		Key: body.Key, Labels: body.Labels, Selector: body.Selector, Urgency: body.Urgency,
		TimeLeft: e.opts.RequestTimeout, Restart: body.Restart,
	}
	for _, t := range body.Tasks {
		s.Tasks = append(s.Tasks, jobs.TaskBody{Data: t.Body, Type: t.Type})
	}
	var errs []error
	errs = append(errs, parseDuration("deadline", body.Deadline, &s.TimeLeft), parseDuration("runTime", body.RunTime, &s.RunTime))
	errs = append(errs, checkSpec(s)...)
	return s, trace.NewAggregate(errs...)
}

// parseDuration sets d unless the text is empty. The error names the field.
func parseDuration(field, text string, d *time.Duration) error {
	if text == "" {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil || v <= 0 || v > model.MaxTimeToLive {
		return trace.BadParameter("%s: %q is not a duration above 0 and up to %s, such as 30s", field, text, model.MaxTimeToLive)
	}
	*d = v
	return nil
}

func checkSpec(s jobs.Spec) []error {
	var errs []error
	if s.Key == "" || len(s.Key) > model.MaxKeyLen {
		errs = append(errs, trace.BadParameter("key: 1 to %d bytes are allowed", model.MaxKeyLen))
	}
	if err := model.CheckLabels(s.Labels); err != nil {
		errs = append(errs, err)
	}
	if _, err := label.Parse(s.Selector); err != nil {
		errs = append(errs, trace.BadParameter("selector: %v", err))
	}
	if s.Urgency < 0 || s.Urgency > model.MaxUrgency {
		errs = append(errs, trace.BadParameter("urgency: %d is not within 0 to %d", s.Urgency, model.MaxUrgency))
	}
	if len(s.Tasks) == 0 || len(s.Tasks) > model.MaxJobTasks {
		errs = append(errs, trace.BadParameter("tasks: %d tasks, 1 to %d are allowed", len(s.Tasks), model.MaxJobTasks))
	}
	for i, t := range s.Tasks {
		if len(t.Data) > model.MaxBody {
			errs = append(errs, trace.BadParameter("tasks[%d].body: %d bytes, at most %d are allowed", i, len(t.Data), model.MaxBody))
		}
	}
	return errs
}

// jobStatus handles GET /v1/jobs/{key}, jobAnswer GET /v1/jobs/{key}/answer and
// jobCancel DELETE /v1/jobs/{key}.
func (e *Entry) jobStatus(w http.ResponseWriter, r *http.Request) { e.askJob(w, r, wire.JobStatus) }
func (e *Entry) jobAnswer(w http.ResponseWriter, r *http.Request) { e.askJob(w, r, wire.JobAnswer) }
func (e *Entry) jobCancel(w http.ResponseWriter, r *http.Request) { e.askJob(w, r, wire.JobCancel) }

// askJob queries or cancels a job and responds with its state.
func (e *Entry) askJob(w http.ResponseWriter, r *http.Request, action wire.JobAction) {
	st, err := e.jobs.State(r.Context(), r.PathValue("key"), action)
	e.setWriteDeadline(w)
	switch {
	case err != nil:
		writeOutcome(w, model.NotRun{Code: model.CodeNoQuorum, Reason: err.Error(), RetryAfter: time.Second})
	case st.State == "":
		writeJSON(w, http.StatusNotFound, struct {
			Reason string `json:"reason"`
		}{"no job has this key, or its record has expired"})
	default:
		writeState(w, st, action == wire.JobAnswer)
	}
}

// taskAnswer is the outcome of one task in the answer of a job.
type taskAnswer struct {
	Outcome    string `json:"outcome"`
	Body       []byte `json:"body,omitempty"`
	Type       string `json:"type,omitempty"`
	Reason     string `json:"reason,omitempty"`
	MayHaveRun bool   `json:"mayHaveRun,omitempty"`
}

// writeState responds with a job's state: status 202 while the job is open, else
// 200. With answer set, the response of an ended job has the outcomes of its tasks;
// the status is 410 when these are not kept any more.
func writeState(w http.ResponseWriter, st wire.JobState, answer bool) {
	status := http.StatusAccepted
	if st.State != wire.JobOpen {
		status = http.StatusOK
		w.Header().Set(HeaderOutcome, st.State)
	}
	if answer && st.State != wire.JobOpen && len(st.Results) == 0 {
		status = http.StatusGone
	}
	var tasks []taskAnswer
	if answer {
		for _, r := range st.Results {
			tasks = append(tasks, newTaskAnswer(r.Outcome()))
		}
	}
	writeJSON(w, status, struct {
		Key    string       `json:"key"`
		State  string       `json:"state"`
		Tasks  int          `json:"tasks"`
		Ended  int          `json:"ended"`
		Reason string       `json:"reason,omitempty"`
		Owner  string       `json:"owner,omitempty"`
		Answer []taskAnswer `json:"answer,omitempty"`
	}{st.Key, st.State, st.Tasks, st.Ended, st.Reason, st.Owner, tasks})
}

func newTaskAnswer(o model.Outcome) taskAnswer {
	a := taskAnswer{Outcome: model.OutcomeName(o)}
	switch o := o.(type) {
	case model.Complete:
		a.Body, a.Type = o.Body, o.Type
	case model.Failed:
		a.Reason, a.MayHaveRun = o.Reason, o.MayHaveRun
	case model.NotRun:
		a.Reason = o.Reason
	}
	return a
}

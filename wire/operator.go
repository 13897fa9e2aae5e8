package wire

// Codes 80 to 89: requests of operators.
var (
	_ = register(80, ListJobs{})
	_ = register(81, JobList{})
)

// ListJobs asks an entry for the jobs that it owns; the answer is JobList.
type ListJobs struct {
	// State selects the jobs by JobState.State, empty for any.
	State string `cbor:"1,keyasint,omitempty"`
	// Limit is the maximum number of jobs in the answer.
	Limit int `cbor:"2,keyasint"`
}

// JobList answers ListJobs, the newest job first, without results.
type JobList struct {
	Jobs []JobState `cbor:"1,keyasint,omitempty"`
}

func (ListJobs) message() {}
func (JobList) message()  {}

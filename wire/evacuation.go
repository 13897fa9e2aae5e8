package wire

import "time"

// Codes 73 to 75: evacuations of data centres.
var (
	_ = register(73, GetEvacuation{})
	_ = register(74, EvacuationState{})
)

// GetEvacuation asks a keeper whether a data centre is evacuated; the answer is
// EvacuationState. Agents ask when their entries have no recent information.
type GetEvacuation struct {
	DataCentre string `cbor:"1,keyasint"`
}

// EvacuationState says whether a data centre is evacuated, as far as the sender knows.
type EvacuationState struct {
	// Version is the version of the sender's configuration.
	Version uint64 `cbor:"1,keyasint"`
	// Age is the time since a quorum has confirmed it as the newest, negative when none has.
	Age       time.Duration `cbor:"2,keyasint"`
	Evacuated bool          `cbor:"3,keyasint,omitempty"`
}

func (GetEvacuation) message()   {}
func (EvacuationState) message() {}

package disk

import (
	"cyclamenrelay.example/files"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// Hard is the state of a group that must be durable before it answers.
type Hard struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Entry is one entry of a group's log. Data is not changed after it was written.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Kind  byte   `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// position is the index and term of an entry.
type position struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// snapRef names the file of a snapshot.
type snapRef struct {
	At   position `cbor:"1,keyasint"`
	File uint64   `cbor:"2,keyasint"`
}

// record is one change of a group, applied in the order of the fields.
type record struct {
	Group    uint32    `cbor:"1,keyasint"`
	Snapshot *snapRef  `cbor:"2,keyasint,omitempty"`
	Truncate uint64    `cbor:"3,keyasint,omitempty"`
	Compact  *position `cbor:"4,keyasint,omitempty"`
	Entries  []Entry   `cbor:"5,keyasint,omitempty"`
	Hard     *Hard     `cbor:"6,keyasint,omitempty"`
	// Whole is set when the record replaces all that was known of the group's entries.
	Whole bool `cbor:"7,keyasint,omitempty"`
}

func appendRecords(b []byte, s files.Salt, seq uint64, records []record) ([]byte, error) {
	payload, err := wire.MarshalValue(records)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b, err = files.AppendFrame(b, s, seq, payload)
	return b, trace.Wrap(err)
}

package disk

import (
	"cyclamenrelay.example/files"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// HardState is a group's Raft hard state. It must be durable before messages that
// depend on it are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Entry is one entry of a group's log. Callers must not change Data once it is
// passed to Write.
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

// snapRef refers to a snapshot: the position that it covers and the number of its
// file.
type snapRef struct {
	Position position `cbor:"1,keyasint"`
	File     uint64   `cbor:"2,keyasint"`
}

// record is a change of one group in the log. Its parts are applied in the order
// Snapshot, Compact, Truncate, Entries, Hard.
type record struct {
	Group    uint32   `cbor:"1,keyasint"`
	Snapshot *snapRef `cbor:"2,keyasint,omitempty"`
	// Truncate is the index from which on entries are removed, 0 for none.
	Truncate uint64 `cbor:"3,keyasint,omitempty"`
	// Compact is the last entry that is removed from the start of the log.
	Compact *position  `cbor:"4,keyasint,omitempty"`
	Entries []Entry    `cbor:"5,keyasint,omitempty"`
	Hard    *HardState `cbor:"6,keyasint,omitempty"`
	// ReplacesLog is set when the record replaces all earlier entries of the group.
	// The log then starts after Compact.
	ReplacesLog bool `cbor:"7,keyasint,omitempty"`
}

// appendRecords appends the records to b as one frame with the number seq.
func appendRecords(b []byte, s files.Salt, seq uint64, records []record) ([]byte, error) {
	payload, err := wire.MarshalValue(records)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b, err = files.AppendFrame(b, s, seq, payload)
	return b, trace.Wrap(err)
}

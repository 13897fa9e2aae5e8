package disk

import (
	"encoding/binary"

	"cyclamenrelay.example/files"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

const snapPrefix = "snap-"

// Snapshot is the state of a group after the entry at Index, which is of Term.
// Callers must not change Members and Data once it is passed to Write.
type Snapshot struct {
	Index   uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Members []byte `cbor:"3,keyasint,omitempty"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
}

func snapName(file uint64) string { return files.NumberedName(snapPrefix, file) }

// writeSnapshot writes a snapshot file: the encoded snapshot, the group's number
// and a checksum.
func writeSnapshot(fs files.FS, s files.Salt, group uint32, snap Snapshot) error {
	b, err := wire.MarshalValue(snap)
	if err != nil {
		return trace.Wrap(err)
	}
	b = binary.BigEndian.AppendUint32(b, group)
	b = binary.BigEndian.AppendUint32(b, s.Checksum(b))
	return trace.Wrap(files.WriteAtomic(fs, snapName(s.File), b))
}

// readSnapshot reads a snapshot file. The error is a files.Damage.
func readSnapshot(fs files.FS, s files.Salt, group uint32, ref snapRef) (Snapshot, error) {
	name := snapName(ref.File)
	b, err := fs.ReadFile(name)
	if err != nil {
		return Snapshot{}, trace.Wrap(files.DamageError{File: name, Reason: err.Error()})
	}
	n := len(b) - 8
	if n < 0 || s.Checksum(b[:n+4]) != binary.BigEndian.Uint32(b[n+4:]) || group != binary.BigEndian.Uint32(b[n:]) {
		return Snapshot{}, trace.Wrap(files.DamageError{File: name, Reason: "the checksum does not match"})
	}
	var snap Snapshot
	if err := wire.UnmarshalValue(b[:n], &snap); err != nil {
		return Snapshot{}, trace.Wrap(files.DamageError{File: name, Reason: err.Error()})
	}
	if (position{snap.Index, snap.Term}) != ref.Position {
		return Snapshot{}, trace.Wrap(files.DamageError{File: name, Reason: "the index or term is not that of the log's reference"})
	}
	return snap, nil
}

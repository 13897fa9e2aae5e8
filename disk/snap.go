package disk

import (
	"encoding/binary"
	"fmt"
	"strings"

	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

const snapPrefix = "snap-"

// Snapshot is the state of a group up to Index. Its bytes are not changed
// after it was written.
type Snapshot struct {
	Index   uint64 `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Members []byte `cbor:"3,keyasint,omitempty"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
}

func snapName(file uint64) string { return fmt.Sprintf("%s%016x", snapPrefix, file) }

func snapNumber(name string) (uint64, bool) { return fileNumber(name, snapPrefix) }

func fileNumber(name, prefix string) (n uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%016x", &n)
	return n, err == nil
}

func writeSnapshot(fs FS, s salt, group uint32, snap Snapshot) error {
	b, err := wire.MarshalValue(snap)
	if err != nil {
		return trace.Wrap(err)
	}
	b = binary.BigEndian.AppendUint32(b, group)
	b = binary.BigEndian.AppendUint32(b, s.checksum(b))
	return trace.Wrap(writeFile(fs, snapName(s.segment), b))
}

func readSnapshot(fs FS, s salt, group uint32, ref snapRef) (Snapshot, error) {
	name := snapName(ref.File)
	b, err := fs.ReadFile(name)
	if err != nil {
		return Snapshot{}, trace.Wrap(Damage{File: name, Reason: err.Error()})
	}
	n := len(b) - 8
	if n < 0 || s.checksum(b[:n+4]) != binary.BigEndian.Uint32(b[n+4:]) || group != binary.BigEndian.Uint32(b[n:]) {
		return Snapshot{}, trace.Wrap(Damage{File: name, Reason: "the checksum does not match"})
	}
	var snap Snapshot
	if err := wire.UnmarshalValue(b[:n], &snap); err != nil {
		return Snapshot{}, trace.Wrap(Damage{File: name, Reason: err.Error()})
	}
	if (position{snap.Index, snap.Term}) != ref.At {
		return Snapshot{}, trace.Wrap(Damage{File: name, Reason: "it is another snapshot"})
	}
	return snap, nil
}

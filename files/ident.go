package files

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
)

// IdentityFile is the name of the file of the identity.
const IdentityFile = "identity.json"

// Identity says whose folder it is.
type Identity struct {
	Cluster string `json:"cluster"`
	Node    string `json:"node"`
	// Incarnation is drawn at random when the folder is first opened, so that
	// a lost or replaced folder shows by another value.
	Incarnation uint64 `json:"incarnation,string"`
}

type identityRecord struct {
	Identity
	Checksum uint32 `json:"checksum"`
}

func (i Identity) checksum() uint32 {
	b, err := json.Marshal(i)
	if err != nil {
		panic(err)
	}
	return crc32.Checksum(b, castagnoli)
}

// ReadIdentity reads the identity of the folder. The error is a Damage when it
// is not whole.
func ReadIdentity(fs FS) (Identity, error) {
	b, err := fs.ReadFile(IdentityFile)
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	var r identityRecord
	if err := json.Unmarshal(b, &r); err != nil || r.Checksum != r.checksum() {
		return Identity{}, trace.Wrap(Damage{File: IdentityFile, Reason: "the checksum does not match"})
	}
	return r.Identity, nil
}

// MakeIdentity makes the identity of a new folder, with an incarnation read
// from random.
func MakeIdentity(fs FS, cluster, node string, random io.Reader) (Identity, error) {
	var b [8]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return Identity{}, trace.Wrap(err)
	}
	i := Identity{Cluster: cluster, Node: node, Incarnation: binary.BigEndian.Uint64(b[:])}
	text, err := json.Marshal(identityRecord{i, i.checksum()})
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	return i, trace.Wrap(Write(fs, IdentityFile, text))
}

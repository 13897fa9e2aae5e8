package files

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
)

// IdentityFile is the name of the file that holds a folder's identity.
const IdentityFile = "identity.json"

// Identity tells which node of which cluster a data folder belongs to.
type Identity struct {
	Cluster string `json:"cluster"`
	Node    string `json:"node"`
	// Incarnation is drawn at random when the folder is first opened. A lost or
	// replaced folder is recognised by its different incarnation.
	Incarnation uint64 `json:"incarnation,string"`
}

// identityRecord is the content of the identity file.
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

// ReadIdentity reads the identity of the folder. The error is a DamageError when the
// file cannot be decoded or its checksum does not match.
func ReadIdentity(fs FS) (Identity, error) {
	b, err := fs.ReadFile(IdentityFile)
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	var r identityRecord
	if err := json.Unmarshal(b, &r); err != nil || r.Checksum != r.checksum() {
		return Identity{}, trace.Wrap(DamageError{File: IdentityFile, Reason: "the checksum does not match"})
	}
	return r.Identity, nil
}

// MakeIdentity creates and stores the identity of a new folder. The incarnation is
// read from random, or from crypto/rand if that is nil.
func MakeIdentity(fs FS, cluster, node string, random io.Reader) (Identity, error) {
	if random == nil {
		random = rand.Reader
	}
	var b [8]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return Identity{}, trace.Wrap(err)
	}
	i := Identity{Cluster: cluster, Node: node, Incarnation: binary.BigEndian.Uint64(b[:])}
	text, err := json.Marshal(identityRecord{i, i.checksum()})
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	return i, trace.Wrap(WriteAtomic(fs, IdentityFile, text))
}

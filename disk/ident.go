package disk

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
)

const (
	identityFile = "identity.json"
	tempSuffix   = ".tmp"
)

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

func readIdentity(fs FS) (Identity, error) {
	b, err := fs.ReadFile(identityFile)
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	var r identityRecord
	if err := json.Unmarshal(b, &r); err != nil || r.Checksum != r.checksum() {
		return Identity{}, trace.Wrap(Damage{File: identityFile, Reason: "the checksum does not match"})
	}
	return r.Identity, nil
}

func makeIdentity(fs FS, o Options) (Identity, error) {
	var b [8]byte
	if _, err := io.ReadFull(o.Random, b[:]); err != nil {
		return Identity{}, trace.Wrap(err)
	}
	i := Identity{Cluster: o.Cluster, Node: o.Node, Incarnation: binary.BigEndian.Uint64(b[:])}
	text, err := json.Marshal(identityRecord{i, i.checksum()})
	if err != nil {
		return Identity{}, trace.Wrap(err)
	}
	return i, trace.Wrap(writeFile(fs, identityFile, text))
}

// writeFile makes a file durable under its name, whole or not at all.
func writeFile(fs FS, name string, b []byte) error {
	f, err := fs.Create(name + tempSuffix)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err := trace.NewAggregate(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fs.SyncDir())
}

package disk

import (
	"encoding/binary"
	"hash/crc32"

	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// A segment is a header and frames. A frame holds one group commit and is
// synced before the next is written, so a valid frame proves that all bytes
// before it were once durable.
//
//	header: magic[8] segment[8] first sequence number[8] checksum[4]
//	frame:  length[4] checksum[4] sequence number[8] payload[length]
//
// Checksums are CRC32C and cover the folder's incarnation and the segment's
// number, so that neither stale nor embedded bytes pass for a frame.
const (
	segmentMagic = "cyclseg1"
	headerSize   = 28
	frameHeader  = 16
	// maxFrame bounds the payload of a frame, in bytes.
	maxFrame = 64 << 20
	// scanAhead bounds how far the sequence number of a frame found after
	// damaged bytes may be ahead.
	scanAhead = 1 << 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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

// salt is what all checksums of a segment cover besides its bytes.
type salt struct{ incarnation, segment uint64 }

func (s salt) checksum(parts ...[]byte) uint32 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], s.incarnation)
	binary.BigEndian.PutUint64(b[8:], s.segment)
	sum := crc32.Checksum(b[:], castagnoli)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

func appendHeader(b []byte, s salt, first uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, s.segment)
	b = binary.BigEndian.AppendUint64(b, first)
	return binary.BigEndian.AppendUint32(b, s.checksum(b[start:]))
}

// readHeader returns the sequence number of the segment's first frame.
func readHeader(b []byte, s salt) (uint64, bool) {
	if len(b) < headerSize || string(b[:8]) != segmentMagic {
		return 0, false
	}
	if s.checksum(b[:headerSize-4]) != binary.BigEndian.Uint32(b[headerSize-4:]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(b[16:]), true
}

func appendFrame(b []byte, s salt, seq uint64, records []record) ([]byte, error) {
	payload, err := wire.MarshalValue(records)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(payload) > maxFrame {
		return nil, trace.LimitExceeded("a frame of %d bytes, at most %d are allowed", len(payload), maxFrame)
	}
	var h [frameHeader]byte
	binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
	binary.BigEndian.PutUint64(h[8:], seq)
	binary.BigEndian.PutUint32(h[4:], s.checksum(h[:4], h[8:], payload))
	b = append(b, h[:]...)
	return append(b, payload...), nil
}

// readFrame returns the payload and sequence number of the frame at the start of b.
func readFrame(b []byte, s salt) (payload []byte, seq uint64, ok bool) {
	if len(b) < frameHeader {
		return nil, 0, false
	}
	n := uint64(binary.BigEndian.Uint32(b))
	if n > maxFrame || n > uint64(len(b)-frameHeader) {
		return nil, 0, false
	}
	payload = b[frameHeader : frameHeader+n]
	if s.checksum(b[:4], b[8:frameHeader], payload) != binary.BigEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, binary.BigEndian.Uint64(b[8:]), true
}

// frameAfter reports whether a valid frame with a sequence number above seq
// starts anywhere in b.
func frameAfter(b []byte, s salt, seq uint64) bool {
	for i := 0; i+frameHeader <= len(b); i++ {
		got := binary.BigEndian.Uint64(b[i+8:])
		if got <= seq || got > seq+scanAhead {
			continue
		}
		if _, _, ok := readFrame(b[i:], s); ok {
			return true
		}
	}
	return false
}

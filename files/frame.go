package files

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// A log segment is a header followed by frames. A frame holds one group commit.
// It is synced before the next is written, so that a valid frame proves that all
// bytes before it were once durable.
//
//	header: magic[8] segment[8] first sequence number[8] checksum[4]
//	frame:  length[4] checksum[4] sequence number[8] payload[length]
//
// Checksums are CRC32C. They also cover the folder's incarnation and the segment's
// number, so that neither bytes of another file nor frames within a payload are
// taken for a frame.
const (
	segmentMagic = "cyclseg1"
	// HeaderSize is the size of the segment header, FrameHeader that of the header
	// before each payload, in bytes.
	HeaderSize  = 28
	FrameHeader = 16
	// MaxFrame bounds the payload of a frame, in bytes.
	MaxFrame = 64 << 20
	// maxSeqAhead bounds how far the sequence number of a frame that is found after
	// invalid bytes may be ahead of the expected one.
	maxSeqAhead = 1 << 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Salt is the input of all checksums of a file besides its bytes: the folder's
// incarnation and the file's number.
type Salt struct{ Incarnation, File uint64 }

// Checksum returns the CRC32C of the salt and the parts.
func (s Salt) Checksum(parts ...[]byte) uint32 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], s.Incarnation)
	binary.BigEndian.PutUint64(b[8:], s.File)
	sum := crc32.Checksum(b[:], castagnoli)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

// AppendHeader appends the header of a segment whose first frame has the
// sequence number first.
func AppendHeader(b []byte, s Salt, first uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, s.File)
	b = binary.BigEndian.AppendUint64(b, first)
	return binary.BigEndian.AppendUint32(b, s.Checksum(b[start:]))
}

// ReadHeader returns the sequence number of the segment's first frame. It returns
// false when the header is not valid.
func ReadHeader(b []byte, s Salt) (uint64, bool) {
	if len(b) < HeaderSize || string(b[:8]) != segmentMagic {
		return 0, false
	}
	if s.Checksum(b[:HeaderSize-4]) != binary.BigEndian.Uint32(b[HeaderSize-4:]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(b[16:]), true
}

// AppendFrame appends a frame to b. The error is a trace.LimitExceeded when the
// payload is larger than MaxFrame.
func AppendFrame(b []byte, s Salt, seq uint64, payload []byte) ([]byte, error) {
	if len(payload) > MaxFrame {
		return nil, trace.LimitExceeded("a frame has %d bytes, at most %d are allowed", len(payload), MaxFrame)
	}
	var h [FrameHeader]byte
	binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
	binary.BigEndian.PutUint64(h[8:], seq)
	binary.BigEndian.PutUint32(h[4:], s.Checksum(h[:4], h[8:], payload))
	b = append(b, h[:]...)
	return append(b, payload...), nil
}

// ReadFrame returns the payload and sequence number of the frame at the start of b.
// ok is false when there is no valid frame.
func ReadFrame(b []byte, s Salt) (payload []byte, seq uint64, ok bool) {
	if len(b) < FrameHeader {
		return nil, 0, false
	}
	n := uint64(binary.BigEndian.Uint32(b))
	if n > MaxFrame || n > uint64(len(b)-FrameHeader) {
		return nil, 0, false
	}
	payload = b[FrameHeader : FrameHeader+n]
	if s.Checksum(b[:4], b[8:FrameHeader], payload) != binary.BigEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, binary.BigEndian.Uint64(b[8:]), true
}

// HasFrameAfter reports whether a valid frame starts anywhere in b whose sequence
// number is above seq, by at most maxSeqAhead.
func HasFrameAfter(b []byte, s Salt, seq uint64) bool {
	for i := 0; i+FrameHeader <= len(b); i++ {
		got := binary.BigEndian.Uint64(b[i+8:])
		if got <= seq || got > seq+maxSeqAhead {
			continue
		}
		if _, _, ok := ReadFrame(b[i:], s); ok {
			return true
		}
	}
	return false
}

// CheckTail is called when b has no valid frame at the offset at, where the frame
// seq is expected. It returns a DamageError unless the bytes from there on can be an
// unfinished write, which only the last segment can have. Its first frame cannot
// be unfinished: it is durable before the segment gets its name.
func CheckTail(name string, b []byte, at int, s Salt, seq uint64, lastSegment bool) error {
	if lastSegment && at > HeaderSize && !HasFrameAfter(b[at:], s, seq) {
		return nil
	}
	return trace.Wrap(DamageError{File: name, Offset: int64(at), Reason: "the checksum does not match"})
}

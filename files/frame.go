package files

import (
	"encoding/binary"
	"hash/crc32"

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
	// HeaderSize and FrameHeader are the bytes before the frames and each payload.
	HeaderSize  = 28
	FrameHeader = 16
	// MaxFrame bounds the payload of a frame, in bytes.
	MaxFrame = 64 << 20
	// scanAhead bounds how far the sequence number of a frame found after
	// damaged bytes may be ahead.
	scanAhead = 1 << 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Salt is what all checksums of a file cover besides its bytes: the folder's
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

// ReadHeader returns the sequence number of the segment's first frame.
func ReadHeader(b []byte, s Salt) (uint64, bool) {
	if len(b) < HeaderSize || string(b[:8]) != segmentMagic {
		return 0, false
	}
	if s.Checksum(b[:HeaderSize-4]) != binary.BigEndian.Uint32(b[HeaderSize-4:]) {
		return 0, false
	}
	return binary.BigEndian.Uint64(b[16:]), true
}

// AppendFrame appends a frame. The error is a trace.LimitExceeded.
func AppendFrame(b []byte, s Salt, seq uint64, payload []byte) ([]byte, error) {
	if len(payload) > MaxFrame {
		return nil, trace.LimitExceeded("a frame of %d bytes, at most %d are allowed", len(payload), MaxFrame)
	}
	var h [FrameHeader]byte
	binary.BigEndian.PutUint32(h[:], uint32(len(payload)))
	binary.BigEndian.PutUint64(h[8:], seq)
	binary.BigEndian.PutUint32(h[4:], s.Checksum(h[:4], h[8:], payload))
	b = append(b, h[:]...)
	return append(b, payload...), nil
}

// ReadFrame returns the payload and sequence number of the frame at the start of b.
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

// FrameAfter reports whether a valid frame with a sequence number above seq
// starts anywhere in b.
func FrameAfter(b []byte, s Salt, seq uint64) bool {
	for i := 0; i+FrameHeader <= len(b); i++ {
		got := binary.BigEndian.Uint64(b[i+8:])
		if got <= seq || got > seq+scanAhead {
			continue
		}
		if _, _, ok := ReadFrame(b[i:], s); ok {
			return true
		}
	}
	return false
}

// CheckTail returns a Damage unless the bytes from at on, where the frame seq
// should be, can be an unfinished write to the last segment. The first frame
// of a segment is durable before the segment has its name.
func CheckTail(name string, b []byte, at int, s Salt, seq uint64, last bool) error {
	if last && at > HeaderSize && !FrameAfter(b[at:], s, seq) {
		return nil
	}
	return trace.Wrap(Damage{File: name, Offset: int64(at), Reason: "the checksum does not match"})
}

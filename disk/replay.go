package disk

import (
	"fmt"
	"slices"
	"strings"

	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

const segmentPrefix = "log-"

// Damage is the error for bytes that were durable once and are no longer
// readable. The folder must not be used: what it answered before is lost.
type Damage struct {
	File string
	// Offset is where the damage starts, in bytes from the file's start.
	Offset int64
	Reason string
}

// Error describes the damage.
func (d Damage) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", d.File, d.Offset, d.Reason)
}

func segmentName(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

// listing is what a folder holds.
type listing struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
	temps     []string
}

func list(fs FS) (listing, error) {
	names, err := fs.List()
	if err != nil {
		return listing{}, trace.Wrap(err)
	}
	var l listing
	for _, name := range names {
		if n, ok := fileNumber(name, segmentPrefix); ok {
			l.segments = append(l.segments, n)
		} else if n, ok := snapNumber(name); ok {
			l.snapshots = append(l.snapshots, n)
		} else if strings.HasSuffix(name, tempSuffix) {
			l.temps = append(l.temps, name)
		} else if name == identityFile {
			l.identity = true
		}
	}
	slices.Sort(l.segments)
	slices.Sort(l.snapshots)
	return l, nil
}

// replay reads all segments into the groups and cuts the torn tail of the last.
func (s *Store) replay(segments []uint64) error {
	for i, n := range segments {
		if n != segments[0]+uint64(i) {
			return trace.Wrap(Damage{File: segmentName(segments[0] + uint64(i)), Reason: "the file is missing"})
		}
		if err := s.replaySegment(n, i == 0, i == len(segments)-1); err != nil {
			return err
		}
	}
	for id, g := range s.groups {
		if g.gap {
			reason := fmt.Sprintf("the entries of group %d before %d are missing", id, g.prev.Index+1)
			return trace.Wrap(Damage{File: segmentName(segments[0]), Reason: reason})
		}
	}
	return nil
}

func (s *Store) replaySegment(n uint64, first, last bool) error {
	name := segmentName(n)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return trace.Wrap(err)
	}
	key := salt{s.identity.Incarnation, n}
	seq, ok := readHeader(b, key)
	if !ok {
		return trace.Wrap(Damage{File: name, Reason: "the header is not valid"})
	}
	if !first && seq != s.seq+1 {
		reason := fmt.Sprintf("it starts at frame %d, the one before ends at %d", seq, s.seq)
		return trace.Wrap(Damage{File: name, Reason: reason})
	}
	end, err := s.replayFrames(b, key, seq, last)
	if err != nil || !last {
		return err
	}
	// What an earlier process wrote may be in the page cache only, even after
	// a failed sync. Writing it anew makes it durable and cuts the torn tail.
	return writeFile(s.fs, name, b[:end])
}

// replayFrames applies the frames of the segment b and returns where they end.
func (s *Store) replayFrames(b []byte, key salt, seq uint64, last bool) (int, error) {
	name := segmentName(key.segment)
	at := headerSize
	for ; at < len(b); seq++ {
		payload, got, ok := readFrame(b[at:], key)
		if !ok {
			return at, checkTail(b, at, key, seq, last)
		}
		if got != seq {
			return 0, trace.Wrap(Damage{File: name, Offset: int64(at), Reason: fmt.Sprintf("frame %d instead of %d", got, seq)})
		}
		var records []record
		if err := wire.UnmarshalValue(payload, &records); err != nil {
			return 0, trace.Wrap(Damage{File: name, Offset: int64(at), Reason: err.Error()})
		}
		for _, r := range records {
			s.group(r.Group).apply(r, key.segment)
		}
		s.seq = seq
		at += frameHeader + len(payload)
	}
	if at == headerSize {
		return 0, checkTail(b, at, key, seq, last)
	}
	return at, nil
}

// checkTail says whether the bytes from at on can be an unfinished write. The
// first frame of a segment is durable before the segment has its name.
func checkTail(b []byte, at int, key salt, seq uint64, last bool) error {
	if last && at > headerSize && !frameAfter(b[at:], key, seq) {
		return nil
	}
	return trace.Wrap(Damage{File: segmentName(key.segment), Offset: int64(at), Reason: "the checksum does not match"})
}

package disk

import (
	"fmt"
	"slices"
	"strings"

	"cyclamenrelay.example/files"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

const segmentPrefix = "log-"

func segmentName(n uint64) string { return files.NumberedName(segmentPrefix, n) }

// folderFiles holds the files of a folder: the numbers of its segments and snapshots,
// in order, the names of its temporary files, and whether it has an identity.
type folderFiles struct {
	hasIdentity bool
	segments    []uint64
	snapshots   []uint64
	tempFiles   []string
}

// listFiles sorts the files of a folder by kind. It ignores files of other kinds.
func listFiles(fs files.FS) (folderFiles, error) {
	names, err := fs.List()
	if err != nil {
		return folderFiles{}, trace.Wrap(err)
	}
	var l folderFiles
	for _, name := range names {
		if n, ok := files.ParseNumberedName(name, segmentPrefix); ok {
			l.segments = append(l.segments, n)
		} else if n, ok := files.ParseNumberedName(name, snapPrefix); ok {
			l.snapshots = append(l.snapshots, n)
		} else if strings.HasSuffix(name, files.TempSuffix) {
			l.tempFiles = append(l.tempFiles, name)
		} else if name == files.IdentityFile {
			l.hasIdentity = true
		}
	}
	slices.Sort(l.segments)
	slices.Sort(l.snapshots)
	return l, nil
}

// replay rebuilds the state of the groups from all segments, and cuts an
// unfinished write off the end of the last segment.
func (s *Store) replay(segments []uint64) error {
	for i, n := range segments {
		if n != segments[0]+uint64(i) {
			return trace.Wrap(files.DamageError{File: segmentName(segments[0] + uint64(i)), Reason: "the file is missing"})
		}
		if err := s.replaySegment(n, i == 0, i == len(segments)-1); err != nil {
			return err
		}
	}
	for id, g := range s.groups {
		if g.gap {
			reason := fmt.Sprintf("the entries of group %d before index %d are missing", id, g.prev.Index+1)
			return trace.Wrap(files.DamageError{File: segmentName(segments[0]), Reason: reason})
		}
	}
	return nil
}

// replaySegment applies the frames of the segment n. Frame numbers must continue
// from the segment before.
func (s *Store) replaySegment(n uint64, first, last bool) error {
	name := segmentName(n)
	b, err := s.fs.ReadFile(name)
	if err != nil {
		return trace.Wrap(err)
	}
	salt := files.Salt{Incarnation: s.identity.Incarnation, File: n}
	seq, ok := files.ReadHeader(b, salt)
	if !ok {
		return trace.Wrap(files.DamageError{File: name, Reason: "the segment header is not valid"})
	}
	if !first && seq != s.frameSeq+1 {
		reason := fmt.Sprintf("the segment starts at frame %d, the one before it ends at frame %d", seq, s.frameSeq)
		return trace.Wrap(files.DamageError{File: name, Reason: reason})
	}
	end, err := s.replayFrames(b, salt, seq, last)
	if err != nil || !last {
		return err
	}
	// Frames of an earlier process may be in the page cache only, even after a
	// failed sync. Rewriting the segment makes them durable, and cuts an unfinished
	// write off its end.
	return files.WriteAtomic(s.fs, name, b[:end])
}

// replayFrames applies the frames of a segment with the content b, the first of which
// must have the number seq, and returns the offset at which the last valid frame ends.
// Only the last segment may end with an unfinished write.
func (s *Store) replayFrames(b []byte, salt files.Salt, seq uint64, last bool) (int, error) {
	name := segmentName(salt.File)
	at := files.HeaderSize
	for ; at < len(b); seq++ {
		payload, got, ok := files.ReadFrame(b[at:], salt)
		if !ok {
			return at, files.CheckTail(name, b, at, salt, seq, last)
		}
		if got != seq {
			return 0, trace.Wrap(files.DamageError{File: name, Offset: int64(at), Reason: fmt.Sprintf("found frame %d instead of %d", got, seq)})
		}
		var records []record
		if err := wire.UnmarshalValue(payload, &records); err != nil {
			return 0, trace.Wrap(files.DamageError{File: name, Offset: int64(at), Reason: err.Error()})
		}
		for _, r := range records {
			s.groupFor(r.Group).apply(r, salt.File)
		}
		s.frameSeq = seq
		at += files.FrameHeader + len(payload)
	}
	// A segment without frames is damaged: its first frame is durable before the segment
	// gets its name.
	if at == files.HeaderSize {
		return 0, files.CheckTail(name, b, at, salt, seq, last)
	}
	return at, nil
}

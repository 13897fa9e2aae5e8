package disk_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/files"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// options returns options with small segments on the file system m, or on the
// operating system's file system when m is nil.
func options(m *memoryFS) disk.Options {
	o := disk.Options{Cluster: "c", Node: "n", SegmentSize: 600}
	if m != nil {
		o.FS = m
		o.Random = strings.NewReader("12345678")
	}
	return o
}

// storedStates returns the state of all groups.
func storedStates(t testing.TB, s *disk.Store) map[uint32]disk.GroupState {
	all := map[uint32]disk.GroupState{}
	for _, g := range s.Groups() {
		l, err := s.Load(g)
		assert.NilError(t, err)
		all[g] = l
	}
	return all
}

// randomStep makes one random change that continues the state of the store.
func randomStep(r *rand.Rand, s *disk.Store, seq int) error {
	b := disk.Batch{}
	for range 1 + r.IntN(2) {
		id := uint32(r.IntN(3))
		l, err := s.Load(id)
		if err != nil {
			return err
		}
		last := l.PrevIndex + uint64(len(l.Entries))
		if l.Snapshot != nil && r.IntN(4) == 0 {
			return s.Compact(id, l.PrevIndex+r.Uint64N(l.Snapshot.Index-l.PrevIndex+1))
		}
		u := disk.Update{Hard: &disk.HardState{Term: l.Hard.Term + 1, Vote: fmt.Sprint(seq), Commit: last}}
		switch from := last + 1; r.IntN(8) {
		case 0:
			if len(l.Entries) > 0 {
				u.Snapshot = &disk.Snapshot{Index: last, Term: l.Entries[len(l.Entries)-1].Term, Data: []byte(fmt.Sprint(seq))}
			}
		case 1:
			u.Snapshot = &disk.Snapshot{Index: last + 9, Term: u.Hard.Term, Members: []byte("m")}
		case 2:
			if len(l.Entries) > 1 {
				u.Truncate = last
				from = last
			}
			fallthrough
		default:
			for i := range 1 + r.Uint64N(3) {
				data := make([]byte, 1+r.IntN(90))
				u.Entries = append(u.Entries, disk.Entry{Index: from + i, Term: u.Hard.Term, Kind: 1, Data: data})
			}
		}
		b[id] = u
	}
	return s.Write(b)
}

const historySteps = 30

// runHistory makes a new store and changes it in historySteps random steps. It
// returns the contents before the first step and after each one, up to the first
// failure.
func runHistory(t testing.TB, m *memoryFS, seed uint64) ([]map[uint32]disk.GroupState, error) {
	r := rand.New(rand.NewPCG(seed, 1))
	s, err := disk.Open("", options(m))
	if err != nil {
		return nil, err
	}
	states := []map[uint32]disk.GroupState{storedStates(t, s)}
	for i := range historySteps {
		if err := randomStep(r, s, i); err != nil {
			return states, err
		}
		states = append(states, storedStates(t, s))
	}
	return states, s.Close()
}

// restart opens the store as a new process does after a kill, and returns the files that
// are left by a power loss soon afterwards. Everything that the new process has read must
// survive the power loss.
func (m *memoryFS) restart(t testing.TB, r *rand.Rand) *memoryFS {
	m.opsLeft = -1
	s, err := disk.Open("", options(m))
	assert.NilError(t, err)
	read := storedStates(t, s)
	m = m.powerLoss(r)
	s, err = disk.Open("", options(m))
	assert.NilError(t, err)
	assert.DeepEqual(t, storedStates(t, s), read)
	return m
}

// TestPowerLossAtEachOperation fails random histories at each operation, and then
// loses unsynced bytes and names. All acknowledged writes must still be there, and
// the last write must be there as a whole or not at all.
func TestPowerLossAtEachOperation(t *testing.T) {
	for seed := range uint64(3) {
		want, err := runHistory(t, newMemoryFS(), seed)
		assert.NilError(t, err)
		for budget, failed := 0, true; failed; budget++ {
			m := newMemoryFS()
			m.opsLeft = budget
			states, err := runHistory(t, m, seed)
			failed = err != nil
			r := rand.New(rand.NewPCG(seed, uint64(budget)))
			if budget%2 == 0 {
				m = m.restart(t, r)
			}
			m = m.powerLoss(r)
			s, err := disk.Open("", options(m))
			assert.NilError(t, err, "seed %d budget %d", seed, budget)
			got := storedStates(t, s)
			at := max(len(states)-1, 0)
			if diff := cmp.DeepEqual(got, want[at])(); !diff.Success() && at < historySteps {
				assert.DeepEqual(t, got, want[at+1])
			} else {
				assert.DeepEqual(t, got, want[at])
			}
			assert.NilError(t, randomStep(rand.New(rand.NewPCG(seed, 2)), s, 99))
			assert.NilError(t, s.Close())
		}
	}
}

// fillStore makes a store with n random changes, closes it and returns its contents.
func fillStore(t testing.TB, m *memoryFS, n int) map[uint32]disk.GroupState {
	r := rand.New(rand.NewPCG(5, 5))
	s, err := disk.Open("", options(m))
	assert.NilError(t, err)
	for i := range n {
		assert.NilError(t, randomStep(r, s, i))
	}
	all := storedStates(t, s)
	assert.NilError(t, s.Close())
	return all
}

// fileNames returns the names of the files with the prefix, in order.
func fileNames(m *memoryFS, prefix string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m.names)), func(n string) bool { return !strings.HasPrefix(n, prefix) })
}

// TestFlippedBitsAreDetected flips single bits in all files. The store must either
// open with its whole contents or report the damaged file.
func TestFlippedBitsAreDetected(t *testing.T) {
	m := newMemoryFS()
	want := fillStore(t, m, 60)
	refused := 0
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		for at := 0; at < len(m.names[name].data); at += 3 {
			c := m.powerLoss(rand.New(rand.NewPCG(1, 1)))
			c.names[name].data[at] ^= 1 << (at % 8)
			s, err := disk.Open("", options(c))
			if err == nil {
				assert.DeepEqual(t, storedStates(t, s), want)
				continue
			}
			var d files.DamageError
			assert.Assert(t, errors.As(err, &d), "%s %d: %v", name, at, err)
			assert.Equal(t, d.File, name)
			assert.Assert(t, d.Offset <= int64(at))
			refused++
		}
	}
	assert.Assert(t, refused > 500, "only %d flipped bits were reported as damage", refused)
}

// TestUnfinishedWriteIsCutOff opens stores whose last segment ends in an unfinished
// write.
func TestUnfinishedWriteIsCutOff(t *testing.T) {
	m := newMemoryFS()
	want := fillStore(t, m, 60)
	logs := fileNames(m, "log-")
	last := m.names[logs[len(logs)-1]]
	whole := slices.Clone(last.data)
	for _, tail := range []string{"x", strings.Repeat("\x00", 5000), strings.Repeat("tail", 50)} {
		last.data = append(slices.Clone(whole), tail...)
		c := m.powerLoss(rand.New(rand.NewPCG(1, 1)))
		c.names[logs[len(logs)-1]].data = slices.Clone(last.data)
		s, err := disk.Open("", options(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, storedStates(t, s), want)
	}
}

func TestMissingFilesAreDetected(t *testing.T) {
	m := newMemoryFS()
	fillStore(t, m, 60)
	for _, name := range append(fileNames(m, "snap-"), append(fileNames(m, "log-")[:2], "identity.json")...) {
		c := m.powerLoss(rand.New(rand.NewPCG(1, 1)))
		delete(c.names, name)
		_, err := disk.Open("", options(c))
		assert.ErrorContains(t, err, "damaged file", "without %s", name)
	}
}

func TestFailedSyncRefusesLaterCalls(t *testing.T) {
	m := newMemoryFS()
	s, err := disk.Open("", options(m))
	assert.NilError(t, err)
	m.opsLeft = 1
	hard := disk.Batch{1: {Hard: &disk.HardState{Term: 1}}}
	assert.ErrorContains(t, s.Write(hard), errInjected.Error())
	m.opsLeft = -1
	assert.Assert(t, trace.IsConnectionProblem(s.Write(hard)))
	_, err = s.Load(1)
	assert.ErrorContains(t, err, "failed")
	assert.NilError(t, s.Close())
}

func TestDiscontinuousWritesAreRefused(t *testing.T) {
	s, err := disk.Open("", options(newMemoryFS()))
	assert.NilError(t, err)
	e := func(i uint64) []disk.Entry { return []disk.Entry{{Index: i, Term: 2}} }
	assert.NilError(t, s.Write(disk.Batch{1: {Entries: e(1), Hard: &disk.HardState{Term: 2, Vote: "a"}}}))
	for _, u := range []disk.Update{
		{Entries: e(3)},
		{Entries: e(0)},
		{Hard: &disk.HardState{Term: 1}},
		{Hard: &disk.HardState{Term: 2, Vote: "b"}},
		{Truncate: 1, Entries: e(2)},
		{Snapshot: &disk.Snapshot{Index: 5, Term: 2}, Entries: e(5)},
	} {
		assert.Assert(t, trace.IsBadParameter(s.Write(disk.Batch{1: u})), "%+v", u)
	}
	assert.Assert(t, trace.IsBadParameter(s.Compact(1, 1)))
	assert.NilError(t, s.Write(disk.Batch{1: {Entries: e(2)}}))
}

// TestIdleGroupKeepsNoOldSegments writes one entry to a group that is idle from
// then on. Its entry must not keep the old segments from being removed.
func TestIdleGroupKeepsNoOldSegments(t *testing.T) {
	m := newMemoryFS()
	s, err := disk.Open("", options(m))
	assert.NilError(t, err)
	idle := disk.Update{Entries: []disk.Entry{{Index: 1, Term: 1, Data: []byte("q")}}, Hard: &disk.HardState{Term: 1}}
	assert.NilError(t, s.Write(disk.Batch{7: idle}))
	for i := uint64(1); i < 100; i++ {
		u := disk.Update{Entries: []disk.Entry{{Index: i, Term: 1, Data: make([]byte, 80)}}, Snapshot: &disk.Snapshot{Index: i - 1, Term: 1}}
		if i == 1 {
			u.Snapshot = nil
		}
		assert.NilError(t, s.Write(disk.Batch{1: u}))
		if i > 1 {
			assert.NilError(t, s.Compact(1, i-1))
		}
	}
	assert.Assert(t, len(fileNames(m, "log-")) <= 4, "%v", fileNames(m, "log-"))
	assert.Equal(t, len(fileNames(m, "snap-")), 1)
	assert.NilError(t, s.Close())
	s, err = disk.Open("", options(m))
	assert.NilError(t, err)
	assert.DeepEqual(t, storedStates(t, s)[7].Entries, idle.Entries)
}

func TestConcurrentWritesShareSyncs(t *testing.T) {
	m := newMemoryFS()
	o := options(m)
	o.SegmentSize = 0
	s, err := disk.Open("", o)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	for g := range uint32(64) {
		wg.Go(func() {
			for i := uint64(1); i <= 20; i++ {
				assert.Check(t, s.Write(disk.Batch{g: {Entries: []disk.Entry{{Index: i, Term: 1}}}}))
			}
		})
	}
	wg.Wait()
	assert.NilError(t, s.Close())
	assert.Assert(t, m.syncs < 64*20, "%d syncs, as many as writes", m.syncs)
}

func TestFolderLockAndIdentity(t *testing.T) {
	dir := t.TempDir()
	s, err := disk.Open(dir, options(nil))
	assert.NilError(t, err)
	first, created := s.Identity()
	assert.Assert(t, created)
	_, err = disk.Open(dir, options(nil))
	assert.Assert(t, trace.IsAlreadyExists(err), "%v", err)
	assert.NilError(t, s.Write(disk.Batch{1: {Hard: &disk.HardState{Term: 3}}}))
	assert.NilError(t, s.Close())

	s, err = disk.Open(dir, options(nil))
	assert.NilError(t, err)
	same, created := s.Identity()
	assert.Assert(t, same == first && !created)
	assert.Equal(t, storedStates(t, s)[1].Hard.Term, uint64(3))
	assert.NilError(t, s.Close())
	other := options(nil)
	other.Node = "other"
	_, err = disk.Open(dir, other)
	assert.Assert(t, trace.IsCompareFailed(err), "%v", err)

	files, err := filepath.Glob(filepath.Join(dir, "*"))
	assert.NilError(t, err)
	for _, f := range files {
		assert.NilError(t, os.Remove(f))
	}
	s, err = disk.Open(dir, options(nil))
	assert.NilError(t, err)
	lost, created := s.Identity()
	assert.Assert(t, created && lost.Incarnation != first.Incarnation)
	assert.NilError(t, s.Close())
}

// FuzzOpen replaces the last segment by arbitrary bytes: Open must not panic.
func FuzzOpen(f *testing.F) {
	m := newMemoryFS()
	fillStore(f, m, 20)
	logs := fileNames(m, "log-")
	f.Add(m.names[logs[0]].data)
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := m.powerLoss(rand.New(rand.NewPCG(1, 1)))
		c.names[logs[len(logs)-1]].data = b
		if s, err := disk.Open("", options(c)); err == nil {
			_ = s.Close()
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	for _, writers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(writers, "writers"), func(b *testing.B) {
			s, err := disk.Open(b.TempDir(), disk.Options{Cluster: "c", Node: "n"})
			assert.NilError(b, err)
			data := make([]byte, 256)
			var wg sync.WaitGroup
			for g := range uint32(writers) {
				wg.Go(func() {
					for i := uint64(1); i <= uint64(b.N/writers); i++ {
						_ = s.Write(disk.Batch{g: {Entries: []disk.Entry{{Index: i, Term: 1, Data: data}}}})
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "batches/s")
			assert.NilError(b, s.Close())
		})
	}
}

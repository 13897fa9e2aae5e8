package disk_test

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"cyclamenrelay.example/files"
)

var errInjected = errors.New("injected failure")

// memoryFS is a file system in memory. A simulated power loss may lose what was not
// synced.
type memoryFS struct {
	mu sync.Mutex
	// names holds the files as a process sees them, durable those at the last sync
	// of the folder, and changes the states of names after each change since then.
	names, durable map[string]*inode
	changes        []map[string]*inode
	// opsLeft is the number of operations until all fail, negative for no bound.
	opsLeft int
	syncs   int
}

// inode is a file, of which the first synced bytes are durable.
type inode struct {
	data   []byte
	synced int
}

func newMemoryFS() *memoryFS {
	return &memoryFS{names: map[string]*inode{}, durable: map[string]*inode{}, opsLeft: -1}
}

// powerLoss returns what a power loss leaves: a random prefix of the unsynced bytes
// of each file, perhaps with a range of zeros, and any of the unsynced changes of
// names.
func (m *memoryFS) powerLoss(r *rand.Rand) *memoryFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := maps.Clone(m.durable)
	for _, change := range m.changes {
		for _, name := range slices.Sorted(maps.Keys(m.names)) {
			if r.IntN(2) == 0 {
				left[name] = change[name]
			}
		}
		maps.DeleteFunc(left, func(name string, i *inode) bool {
			return i == nil || change[name] == nil && r.IntN(2) == 0
		})
	}
	c := newMemoryFS()
	for _, name := range slices.Sorted(maps.Keys(left)) {
		i := left[name]
		data := slices.Clone(i.data[:i.synced+r.IntN(len(i.data)-i.synced+1)])
		if tail := len(data) - i.synced; tail > 0 && r.IntN(2) == 0 {
			from := i.synced + r.IntN(tail)
			clear(data[from : from+r.IntN(len(data)-from)])
		}
		c.names[name] = &inode{data, len(data)}
	}
	c.durable = maps.Clone(c.names)
	return c
}

// countOp counts an operation that changes the file system, and fails it once opsLeft
// is used up.
func (m *memoryFS) countOp() error {
	if m.opsLeft == 0 {
		return errInjected
	}
	m.opsLeft--
	return nil
}

// changeNames applies a change of names.
func (m *memoryFS) changeNames(change func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOp(); err != nil {
		return err
	}
	change()
	m.changes = append(m.changes, maps.Clone(m.names))
	return nil
}

func (m *memoryFS) Lock() (func() error, error) { return func() error { return nil }, nil }

func (m *memoryFS) List() ([]string, error) { return slices.Collect(maps.Keys(m.names)), nil }

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i, ok := m.names[name]; ok {
		return slices.Clone(i.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memoryFS) Create(name string) (files.File, error) {
	i := &inode{}
	return memoryFile{m, i}, m.changeNames(func() { m.names[name] = i })
}

func (m *memoryFS) Append(name string) (files.File, error) { return memoryFile{m, m.names[name]}, nil }

func (m *memoryFS) Rename(from, to string) error {
	return m.changeNames(func() { m.names[to] = m.names[from]; delete(m.names, from) })
}

func (m *memoryFS) Remove(name string) error {
	return m.changeNames(func() { delete(m.names, name) })
}

func (m *memoryFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.countOp(); err != nil {
		return err
	}
	m.durable, m.changes = maps.Clone(m.names), nil
	return nil
}

type memoryFile struct {
	m *memoryFS
	*inode
}

func (f memoryFile) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.countOp(); err != nil {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.countOp(); err != nil {
		return err
	}
	f.m.syncs++
	f.synced = len(f.data)
	return nil
}

func (f memoryFile) Close() error { return nil }

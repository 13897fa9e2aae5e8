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

// memory is a file system in memory. A simulated power loss may lose what was not
// synced.
type memory struct {
	mu sync.Mutex
	// names holds the files as a process sees them, durable those at the last sync
	// of the folder, and changes the states of names after each change since then.
	names, durable map[string]*inode
	changes        []map[string]*inode
	// budget is the number of operations until all fail, negative for no bound.
	budget int
	syncs  int
}

// inode is a file, of which the first synced bytes are durable.
type inode struct {
	data   []byte
	synced int
}

func newMemory() *memory {
	return &memory{names: map[string]*inode{}, durable: map[string]*inode{}, budget: -1}
}

// crash returns what a power loss leaves: a random prefix of the unsynced bytes of
// each file, perhaps with a range of zeros, and any of the unsynced changes of names.
func (m *memory) crash(r *rand.Rand) *memory {
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
	c := newMemory()
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

// op counts an operation that changes the file system, and fails it once the budget
// is used up.
func (m *memory) op() error {
	if m.budget == 0 {
		return errInjected
	}
	m.budget--
	return nil
}

// rename applies a change of names.
func (m *memory) rename(change func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	change()
	m.changes = append(m.changes, maps.Clone(m.names))
	return nil
}

func (m *memory) Lock() (func() error, error) { return func() error { return nil }, nil }

func (m *memory) List() ([]string, error) { return slices.Collect(maps.Keys(m.names)), nil }

func (m *memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i, ok := m.names[name]; ok {
		return slices.Clone(i.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memory) Create(name string) (files.File, error) {
	i := &inode{}
	return memoryFile{m, i}, m.rename(func() { m.names[name] = i })
}

func (m *memory) Append(name string) (files.File, error) { return memoryFile{m, m.names[name]}, nil }

func (m *memory) Rename(from, to string) error {
	return m.rename(func() { m.names[to] = m.names[from]; delete(m.names, from) })
}

func (m *memory) Remove(name string) error {
	return m.rename(func() { delete(m.names, name) })
}

func (m *memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.op(); err != nil {
		return err
	}
	m.durable, m.changes = maps.Clone(m.names), nil
	return nil
}

type memoryFile struct {
	m *memory
	*inode
}

func (f memoryFile) Write(b []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.op(); err != nil {
		f.data = append(f.data, b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f memoryFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if err := f.m.op(); err != nil {
		return err
	}
	f.m.syncs++
	f.synced = len(f.data)
	return nil
}

func (f memoryFile) Close() error { return nil }

package rstore_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/rstore"
)

func groupWrite(p rlog.Persist) *group.Write {
	return &group.Write{Parts: []group.ReplicaWrite{{Group: 3, Persist: p}}}
}

func entries(from, to uint64) []rlog.Entry {
	var out []rlog.Entry
	for i := from; i <= to; i++ {
		out = append(out, rlog.Entry{Index: i, Term: 1})
	}
	return out
}

func TestConsecutiveWritesShareABatch(t *testing.T) {
	b := disk.Batch{}
	assert.Assert(t, rstore.AddWrite(b, groupWrite(rlog.Persist{Truncate: 4, Entries: entries(4, 5)})))
	vote := rlog.ID{Name: "k1", Incarnation: 9}
	assert.Assert(t, rstore.AddWrite(b, groupWrite(rlog.Persist{Entries: entries(6, 7), Hard: rlog.HardState{Term: 2, Vote: vote}})))
	u := b[3]
	assert.Equal(t, len(u.Entries), 4)
	assert.Equal(t, u.Truncate, uint64(4), "the truncation of the first write is missing from the batch")
	assert.Equal(t, *u.Hard, disk.HardState{Term: 2, Vote: "k1#9"})
}

func TestWritesThatMustFollowAreNotMerged(t *testing.T) {
	for _, p := range []rlog.Persist{
		{Truncate: 2},
		{Entries: entries(9, 9)},
		{Snapshot: &rlog.Snapshot{Index: 9, Term: 1}},
	} {
		b := disk.Batch{}
		assert.Assert(t, rstore.AddWrite(b, groupWrite(rlog.Persist{Entries: entries(1, 3)})))
		assert.Assert(t, !rstore.AddWrite(b, groupWrite(p)), "%+v", p)
		assert.Equal(t, len(b[3].Entries), 3)
	}
}

// The truncation that is written with a leader's snapshot must not reach into the
// entries that the snapshot covers: the store refuses it.
func TestSnapshotReplacesTheLog(t *testing.T) {
	b := disk.Batch{}
	assert.Assert(t, rstore.AddWrite(b, groupWrite(rlog.Persist{Truncate: 1, Snapshot: &rlog.Snapshot{Index: 8, Term: 1}})))
	assert.Equal(t, b[3].Truncate, uint64(9))
}

func TestStateComesBackFromDisk(t *testing.T) {
	members := rlog.Membership{}.With(rlog.Member{ID: rlog.ID{Name: "k1", Incarnation: 9}, Voter: true})
	snap := rlog.Snapshot{Index: 5, Term: 2, Members: members, Data: []byte("state")}
	s, err := rstore.ReplicaState(disk.GroupState{
		Hard: disk.HardState{Term: 3, Vote: "k1#9", Commit: 6}, Snapshot: rstore.DiskSnapshot(snap),
		Entries: []disk.Entry{{Index: 6, Term: 3, Data: []byte("x")}},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, s, rlog.StoredState{
		Hard:     rlog.HardState{Term: 3, Vote: rlog.ID{Name: "k1", Incarnation: 9}, Commit: 6},
		Snapshot: snap, Entries: []rlog.Entry{{Index: 6, Term: 3, Data: []byte("x")}},
	})
	_, err = rstore.ReplicaState(disk.GroupState{Hard: disk.HardState{Vote: "nobody"}})
	assert.Assert(t, err != nil)
}

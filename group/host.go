// Package group runs the replicas of many Raft groups in one process. The messages
// of all groups to the same host share a batch, and the disk writes of all groups
// in one step share a write and its sync.
package group

import (
	"slices"
	"time"

	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/wire"
)

// maxBatchBytes bounds the entry and snapshot data of one batch, in bytes. A message
// with more is sent in a batch of its own.
const maxBatchBytes = 1 << 20

// Input is an input of Host.Step.
type Input interface{ input() }

// Tick is an rlog.Tick for all groups.
type Tick struct{}

// Receive is a batch from another host. It is ignored if it is addressed to another
// ID than this host's, such as that of its lost data folder.
type Receive struct{ Batch wire.RaftBatch }

// Synced reports that the Write with the number Seq, and all before it, are synced.
type Synced struct{ Seq uint64 }

// ReplicaInput is an input for one group. It is ignored when the host has no replica of the
// group.
type ReplicaInput struct {
	Group uint64
	Input rlog.Input
}

func (Tick) input()         {}
func (Receive) input()      {}
func (Synced) input()       {}
func (ReplicaInput) input() {}

// Write holds the disk writes of all groups in one step. The caller makes the
// writes durable in the order of Seq, each as a whole, and then reports Synced.
type Write struct {
	Seq   uint64
	Parts []ReplicaWrite
}

// ReplicaWrite is the write of one group.
type ReplicaWrite struct {
	Group   uint64
	Persist rlog.Persist
}

// Event is an effect of one group other than a disk write or a message.
type Event struct {
	Group  uint64
	Effect rlog.Effect
}

// Output holds the effects of a step. Events are valid until the next step.
type Output struct {
	Write   *Write // nil for none
	Batches []wire.RaftBatch
	Events  []Event
}

// Host holds the replicas of one process and steps them together. It is not safe
// for concurrent use.
type Host struct {
	self       rlog.ID
	groups     map[uint64]*replica
	replicas   []*replica // the replicas, by group number
	issuedSeq  uint64     // Seq of the newest write
	unsynced   []*Write   // issued and not synced, oldest first
	events     []Event
	batchBytes []int // bytes of data in each batch of this step
}

// replica is the replica of one group, with its inputs for the current step.
type replica struct {
	group  uint64
	node   *raft.Node
	inputs []rlog.Input
}

// NewHost returns a host without groups. All its replicas have the ID self.
func NewHost(self rlog.ID) *Host {
	return &Host{self: self, groups: map[uint64]*replica{}}
}

// Add adds the replica n of a group. It replaces an earlier one of the same group.
func (h *Host) Add(group uint64, n *raft.Node) {
	h.Remove(group)
	r := &replica{group: group, node: n}
	h.groups[group] = r
	h.replicas = append(h.replicas, r)
	slices.SortFunc(h.replicas, func(a, b *replica) int {
		if a.group < b.group {
			return -1
		}
		return 1
	})
}

// Remove removes the replica of a group. Syncs of its outstanding writes are not
// reported to a later replica of the group.
func (h *Host) Remove(group uint64) {
	delete(h.groups, group)
	h.replicas = slices.DeleteFunc(h.replicas, func(r *replica) bool { return r.group == group })
	for _, w := range h.unsynced {
		w.Parts = slices.DeleteFunc(slices.Clone(w.Parts), func(p ReplicaWrite) bool { return p.Group == group })
	}
}

// Node returns the replica of a group, nil when there is none.
func (h *Host) Node(group uint64) *raft.Node {
	if r := h.groups[group]; r != nil {
		return r.node
	}
	return nil
}

// Step passes the inputs to their groups and collects the effects. The replica of
// each group is stepped at most once.
func (h *Host) Step(now time.Duration, inputs ...Input) Output {
	for _, in := range inputs {
		h.handle(in)
	}
	var out Output
	var parts []ReplicaWrite
	h.events, h.batchBytes = h.events[:0], h.batchBytes[:0]
	for _, r := range h.replicas {
		if len(r.inputs) == 0 {
			continue
		}
		for _, e := range r.node.Step(now, r.inputs...) {
			switch e := e.(type) {
			case rlog.Persist:
				parts = append(parts, ReplicaWrite{r.group, e})
			case rlog.Send:
				out.Batches = h.addToBatch(out.Batches, r.group, e)
			default:
				h.events = append(h.events, Event{r.group, e})
			}
		}
		clear(r.inputs)
		r.inputs = r.inputs[:0]
	}
	if len(parts) > 0 {
		h.issuedSeq++
		h.unsynced = append(h.unsynced, &Write{h.issuedSeq, parts})
		out.Write = &Write{h.issuedSeq, parts}
	}
	out.Events = h.events
	return out
}

func (h *Host) handle(in Input) {
	switch in := in.(type) {
	case Tick:
		for _, r := range h.replicas {
			r.inputs = append(r.inputs, rlog.Tick{})
		}
	case Receive:
		if in.Batch.To != h.self {
			return
		}
		for _, m := range in.Batch.Messages {
			h.queueInput(m.Group, rlog.Receive{From: in.Batch.From, Term: m.Term, Body: m.Body()})
		}
	case Synced:
		for len(h.unsynced) > 0 && h.unsynced[0].Seq <= in.Seq {
			for _, p := range h.unsynced[0].Parts {
				h.queueInput(p.Group, rlog.Persisted{Seq: p.Persist.Seq})
			}
			h.unsynced = h.unsynced[1:]
		}
	case ReplicaInput:
		h.queueInput(in.Group, in.Input)
	}
}

// queueInput queues an input for the group's replica, if there is one.
func (h *Host) queueInput(group uint64, in rlog.Input) {
	if r := h.groups[group]; r != nil {
		r.inputs = append(r.inputs, in)
	}
}

// addToBatch adds a message to the last batch for its receiver, or to a new batch if
// there is none or it is full.
func (h *Host) addToBatch(bs []wire.RaftBatch, group uint64, s rlog.Send) []wire.RaftBatch {
	m := wire.NewRaftMessage(group, s.Term, s.Body)
	bytes := dataBytes(m)
	for i := len(bs) - 1; i >= 0; i-- {
		if bs[i].To != s.To {
			continue
		}
		if h.batchBytes[i]+bytes > maxBatchBytes {
			break
		}
		h.batchBytes[i] += bytes
		bs[i].Messages = append(bs[i].Messages, m)
		return bs
	}
	h.batchBytes = append(h.batchBytes, bytes)
	return append(bs, wire.RaftBatch{From: h.self, To: s.To, Messages: []wire.RaftMessage{m}})
}

// dataBytes returns the bytes of entry and snapshot data in a message.
func dataBytes(m wire.RaftMessage) int {
	n := 0
	if m.Append != nil {
		for i := range m.Append.Entries {
			n += len(m.Append.Entries[i].Data)
		}
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

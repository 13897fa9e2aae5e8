package keeper

import (
	"fmt"
	"time"

	"cyclamenrelay.example/group"
	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/vitals"
	"cyclamenrelay.example/wire"
)

// replica is this keeper's Raft replica of one group with its state machine.
type replica struct {
	id      uint64
	self    rlog.ID
	machine state.Machine
	node    *raft.Node
	// applied is the index of the last entry applied to the machine.
	applied uint64
	// pendingCommands and pendingQueries hold the unanswered ones, by request ID.
	pendingCommands map[uint64]chan reply
	pendingQueries  map[uint64]request
	monitor         *vitals.Monitor
	// members decides on the membership while this replica leads.
	members *repair.Automatic
	// waitsFor is the reason of the last repair.Wait, empty after another decision.
	waitsFor string
}

// request is a command or, if query is not nil, a linearizable query to a group.
type request struct {
	group   uint64
	command []byte
	query   []byte
	reply   chan reply
}

// reply is the state machine's answer, or the refusal if there is none.
type reply struct {
	result  []byte
	refused *wire.Refused
}

// logEntry is the data of a log entry: a command with the leader's clock.
type logEntry struct {
	// Now is the leader's time at the proposal, since the Unix epoch.
	Now     time.Duration `cbor:"1,keyasint"`
	Command []byte        `cbor:"2,keyasint"`
}

// register stores the request as pending and returns the Raft input for it.
func (k *Keeper) register(q request) group.Input {
	r := k.groups[q.group]
	k.lastRequestID++
	if q.query != nil {
		r.pendingQueries[k.lastRequestID] = q
		return group.ReplicaInput{Group: q.group, Input: rlog.Read{ID: k.lastRequestID}}
	}
	data, err := wire.MarshalValue(logEntry{Now: time.Duration(k.opts.Clock.Now().UnixNano()), Command: q.command})
	if err != nil {
		panic("keeper: cannot encode a log entry: " + err.Error())
	}
	r.pendingCommands[k.lastRequestID] = q.reply
	return group.ReplicaInput{Group: q.group, Input: rlog.Propose{ID: k.lastRequestID, Data: data}}
}

// apply applies committed commands to the state machine, and answers those
// that were proposed at this replica.
func (r *replica) apply(a rlog.Apply) {
	for i, e := range a.Entries {
		r.applied = e.Index
		if e.Kind != rlog.KindCommand {
			continue
		}
		var entry logEntry
		if err := wire.UnmarshalValue(e.Data, &entry); err != nil {
			panic("keeper: cannot decode a committed entry: " + err.Error())
		}
		result := r.machine.Apply(e.Index, entry.Now, entry.Command)
		if len(a.Proposals) == 0 || a.Proposals[i] == 0 {
			continue
		}
		if c := r.pendingCommands[a.Proposals[i]]; c != nil {
			delete(r.pendingCommands, a.Proposals[i])
			c <- reply{result: result}
		}
	}
}

func (r *replica) answerReads(ids []uint64) {
	for _, id := range ids {
		q, ok := r.pendingQueries[id]
		if !ok {
			continue
		}
		delete(r.pendingQueries, id)
		q.reply <- reply{result: r.machine.Query(q.query)}
	}
}

// rejectDropped refuses a command or query that Raft dropped. With
// rlog.ReasonUnknown the command may still be committed.
func (r *replica) rejectDropped(d rlog.Dropped) {
	refusal := &wire.Refused{Reason: notLeaderReason(r.node.Status(), r.self), Leader: d.Leader.Name}
	switch d.Reason {
	case rlog.ReasonBusy:
		refusal.Reason = "too many uncommitted commands"
	case rlog.ReasonUnknown:
		refusal.Reason, refusal.MayHaveApplied = "leadership was lost", true
	}
	if c := r.pendingCommands[d.ID]; c != nil {
		delete(r.pendingCommands, d.ID)
		c <- reply{refused: refusal}
	}
	if q, ok := r.pendingQueries[d.ID]; ok {
		delete(r.pendingQueries, d.ID)
		q.reply <- reply{refused: refusal}
	}
}

// notLeaderReason tells why this replica cannot serve a request as a leader.
func notLeaderReason(st rlog.Status, self rlog.ID) string {
	if _, ok := st.Members.Find(self); !ok {
		return "not the leader: this keeper is not a member of the group"
	}
	if st.Leader.Name == "" {
		return fmt.Sprintf("not the leader: none is known among %d voters", st.Members.Voters())
	}
	return "not the leader"
}

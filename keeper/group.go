package keeper

import (
	"time"

	"cyclamenrelay.example/agree"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/wire"
)

// replica is this keeper's part of one group.
type replica struct {
	id      uint64
	machine state.Machine
	node    *agree.Node
	// applied is the index of the last entry that the machine has seen.
	applied  uint64
	proposed map[uint64]chan reply
	reads    map[uint64]request
}

// request is a command or a query of an entry.
type request struct {
	group   uint64
	command []byte
	query   []byte
	reply   chan reply
}

// reply is the state machine's answer, or why there is none.
type reply struct {
	result  []byte
	refused *wire.Refused
}

// logged is what an entry of the log holds: the command and the leader's time.
type logged struct {
	// Now is the time since the Unix epoch.
	Now     time.Duration `cbor:"1,keyasint"`
	Command []byte        `cbor:"2,keyasint"`
}

// admit turns a request into an input of its group.
func (k *Keeper) admit(q request) group.Input {
	r := k.groups[q.group]
	k.lastID++
	if q.query != nil {
		r.reads[k.lastID] = q
		return group.To{Group: q.group, Input: rlog.Read{ID: k.lastID}}
	}
	data, err := wire.MarshalValue(logged{Now: time.Duration(k.opts.Clock.Now().UnixNano()), Command: q.command})
	if err != nil {
		panic("keeper: command cannot be encoded: " + err.Error())
	}
	r.proposed[k.lastID] = q.reply
	return group.To{Group: q.group, Input: rlog.Propose{ID: k.lastID, Data: data}}
}

// apply gives committed commands to the state machine, and their answers to
// those who proposed them here.
func (r *replica) apply(a rlog.Apply) {
	for i, e := range a.Entries {
		r.applied = e.Index
		if e.Kind != rlog.KindCommand {
			continue
		}
		var l logged
		if err := wire.UnmarshalValue(e.Data, &l); err != nil {
			panic("keeper: a committed entry cannot be decoded: " + err.Error())
		}
		result := r.machine.Apply(e.Index, l.Now, l.Command)
		if len(a.Proposals) == 0 || a.Proposals[i] == 0 {
			continue
		}
		if c := r.proposed[a.Proposals[i]]; c != nil {
			delete(r.proposed, a.Proposals[i])
			c <- reply{result: result}
		}
	}
}

func (r *replica) answerReads(ids []uint64) {
	for _, id := range ids {
		q, ok := r.reads[id]
		if !ok {
			continue
		}
		delete(r.reads, id)
		q.reply <- reply{result: r.machine.Query(q.query)}
	}
}

// drop refuses a command or query whose outcome will not be known here.
func (r *replica) drop(d rlog.Dropped) {
	ref := &wire.Refused{Reason: "not the leader", Leader: d.Leader.Name}
	switch d.Reason {
	case rlog.ReasonBusy:
		ref.Reason = "too much is being recorded"
	case rlog.ReasonUnknown:
		ref.Reason, ref.MayBeDone = "leadership was lost", true
	}
	if c := r.proposed[d.ID]; c != nil {
		delete(r.proposed, d.ID)
		c <- reply{refused: ref}
	}
	if q, ok := r.reads[d.ID]; ok {
		delete(r.reads, d.ID)
		q.reply <- reply{refused: ref}
	}
}

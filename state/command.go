package state

import (
	"cyclamenrelay.example/model"
)

// ConfigCommand is a command of the configuration state machine: Change or
// Publish.
type ConfigCommand interface{ configCommand() }

// Change requests a change of one item; the answer is Changed.
type Change struct {
	Change model.Change `cbor:"1,keyasint"`
}

// ConfigQuery is a query of the configuration state machine: GetDelta, GetHistory or GetItem.
type ConfigQuery interface{ configQuery() }

// GetDelta requests the changes after a version; the answer is a Delta.
type GetDelta struct {
	Version uint64 `cbor:"1,keyasint"`
}

// GetItem requests one item; the answer is Found.
type GetItem struct {
	Key model.ItemKey `cbor:"1,keyasint"`
}

// GetHistory requests the last N accepted changes; the answer is Events.
type GetHistory struct {
	N int `cbor:"1,keyasint"`
}

// ConfigAnswer is an answer of the configuration state machine: Changed, Delta,
// Events, Unknown, Published or Found.
type ConfigAnswer interface{ configAnswer() }

// Changed answers Change.
type Changed struct {
	Result model.ChangeResult `cbor:"1,keyasint"`
}

// Delta answers GetDelta.
type Delta struct {
	Delta model.Delta `cbor:"1,keyasint"`
}

// Events answers GetHistory, the newest change first.
type Events struct {
	Events []Event `cbor:"1,keyasint"`
}

// Found answers GetItem. The item's Count is 0 when it has never existed.
type Found struct {
	Item model.Item `cbor:"1,keyasint"`
}

// InvalidQuery answers a query that could not be decoded.
type InvalidQuery struct {
	Reason string `cbor:"1,keyasint"`
}

func (Change) configCommand()      {}
func (GetDelta) configQuery()      {}
func (GetHistory) configQuery()    {}
func (GetItem) configQuery()       {}
func (Changed) configAnswer()      {}
func (Delta) configAnswer()        {}
func (Events) configAnswer()       {}
func (Found) configAnswer()        {}
func (InvalidQuery) configAnswer() {}

// The codecs of the configuration state machine.
var (
	ConfigCommands = NewCodec[ConfigCommand](Change{}, Publish{})
	ConfigQueries  = NewCodec[ConfigQuery](GetDelta{}, GetHistory{}, GetItem{})
	ConfigAnswers  = NewCodec[ConfigAnswer](Changed{}, Delta{}, Events{}, InvalidQuery{}, Published{}, Found{})
)

// Query answers a ConfigQuery.
func (c *Config) Query(query []byte) []byte {
	q, err := ConfigQueries.Decode(query)
	if err != nil {
		return ConfigAnswers.MustEncode(InvalidQuery{err.Error()})
	}
	switch q := q.(type) {
	case GetDelta:
		return ConfigAnswers.MustEncode(Delta{c.Since(q.Version)})
	case GetHistory:
		return ConfigAnswers.MustEncode(Events{c.History(q.N)})
	case GetItem:
		return ConfigAnswers.MustEncode(Found{c.Item(q.Key)})
	default:
		return ConfigAnswers.MustEncode(InvalidQuery{"unknown query"})
	}
}

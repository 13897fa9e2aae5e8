package state

import (
	"cyclamenrelay.example/model"
)

// ConfigCommand is a command of the configuration machine: Change or Publish.
type ConfigCommand interface{ configCommand() }

// Change asks for one change; the answer is Changed.
type Change struct {
	Change model.Change `cbor:"1,keyasint"`
}

// ConfigQuery is a query of the configuration machine: Since or History.
type ConfigQuery interface{ configQuery() }

// Since asks for the delta from a version; the answer is a Delta.
type Since struct {
	Version uint64 `cbor:"1,keyasint"`
}

// History asks for the last accepted changes; the answer is Events.
type History struct {
	N int `cbor:"1,keyasint"`
}

// ConfigAnswer is an answer of the configuration machine: Changed, Delta,
// Events, Unknown or Published.
type ConfigAnswer interface{ configAnswer() }

// Changed answers Change.
type Changed struct {
	Result model.ChangeResult `cbor:"1,keyasint"`
}

// Delta answers Since.
type Delta struct {
	Delta model.Delta `cbor:"1,keyasint"`
}

// Events answers History, the newest change first.
type Events struct {
	Events []Event `cbor:"1,keyasint"`
}

// Unknown answers a query that could not be decoded.
type Unknown struct {
	Reason string `cbor:"1,keyasint"`
}

func (Change) configCommand() {}
func (Since) configQuery()    {}
func (History) configQuery()  {}
func (Changed) configAnswer() {}
func (Delta) configAnswer()   {}
func (Events) configAnswer()  {}
func (Unknown) configAnswer() {}

// The codecs of the configuration machine.
var (
	ConfigCommands = NewCodec[ConfigCommand](Change{}, Publish{})
	ConfigQueries  = NewCodec[ConfigQuery](Since{}, History{})
	ConfigAnswers  = NewCodec[ConfigAnswer](Changed{}, Delta{}, Events{}, Unknown{}, Published{})
)

// Query answers a ConfigQuery.
func (c *Config) Query(query []byte) []byte {
	q, err := ConfigQueries.Decode(query)
	if err != nil {
		return ConfigAnswers.MustEncode(Unknown{err.Error()})
	}
	switch q := q.(type) {
	case Since:
		return ConfigAnswers.MustEncode(Delta{c.Since(q.Version)})
	case History:
		return ConfigAnswers.MustEncode(Events{c.History(q.N)})
	default:
		return ConfigAnswers.MustEncode(Unknown{"unknown query"})
	}
}

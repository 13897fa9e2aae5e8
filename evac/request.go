package evac

import (
	"encoding/json"
	"time"

	"cyclamenrelay.example/model"
)

// Key returns the key of the item of a data centre's evacuation.
func Key(dataCentre string) model.ItemKey {
	return model.ItemKey{Section: model.SectionEvacuation, Name: dataCentre}
}

// Active reports whether the item is an evacuation in force.
func Active(i model.Item) bool { return i.Value != nil }

// Request is an operator's request to start or end an evacuation.
type Request struct {
	DataCentre string
	// End withdraws the evacuation.
	End bool
	// Operator makes the request from Address at the time At.
	Operator, Address string
	At                time.Time
}

// Change returns the change with the ID that carries out the request, given the item's
// current state. It returns false when the request is already carried out, so that a
// resent request changes nothing. The change is refused when the item has changed since.
func (r Request) Change(id string, current model.Item) (model.Change, bool) {
	if Active(current) != r.End {
		return model.Change{}, false
	}
	c := model.Change{ID: id, Operator: r.Operator, Key: Key(r.DataCentre), Expected: current.Count}
	if !r.End {
		b, err := json.Marshal(model.Evacuation{Address: r.Address, At: r.At})
		if err != nil {
			panic("evac: an evacuation cannot be encoded: " + err.Error())
		}
		c.Value = b
	}
	return c, true
}

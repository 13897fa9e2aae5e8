package state

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"cyclamenrelay.example/model"
)

// MaxDocument bounds a published document, in bytes. With its encoding it stays
// below the size limit of a keeper's command (1 MiB).
const MaxDocument = 900 << 10

// documentKey is the key of the item that holds the published document.
var documentKey = model.ItemKey{Section: model.SectionDocument, Name: "current"}

// Document is a whole configuration with a number assigned by the operators.
// The state machine does not interpret its source.
type Document struct {
	// Number increases from one document to the next; 0 stands for no document.
	Number uint64
	Source []byte
}

// Publish replaces the document if the new one has a higher number; the answer
// is Published.
type Publish struct {
	Number uint64 `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
}

// Published answers Publish.
type Published struct {
	// Current is the number of the current document after the command.
	Current uint64 `cbor:"1,keyasint"`
	// Conflict is set when the current document has the same number and another
	// source.
	Conflict bool `cbor:"2,keyasint,omitempty"`
	// Reason says why the document is invalid, empty when it is valid.
	Reason string `cbor:"3,keyasint,omitempty"`
}

func (Publish) configCommand()  {}
func (Published) configAnswer() {}

// publish keeps the document with the highest number: one with a lower number
// or a resent one changes nothing. Documents are left out of the history, which
// would hold up to a thousand copies.
func (c *Config) publish(p Publish) Published {
	held := DocumentOf(c.Item(documentKey))
	switch {
	case p.Number == 0 || len(p.Source) == 0 || len(p.Source) > MaxDocument:
		return Published{Current: held.Number, Reason: fmt.Sprintf("a document has a number above 0 and 1 to %d bytes", MaxDocument)}
	case p.Number < held.Number:
		return Published{Current: held.Number}
	case p.Number == held.Number:
		return Published{Current: held.Number, Conflict: !bytes.Equal(p.Source, held.Source)}
	}
	c.version++
	c.putItem(model.Item{
		Key: documentKey, Count: c.Item(documentKey).Count + 1, Version: c.version,
		Value: append(binary.BigEndian.AppendUint64(nil, p.Number), p.Source...),
	})
	return Published{Current: p.Number}
}

// DocumentOf decodes the document in an item; it is the zero Document for any
// other item.
func DocumentOf(i model.Item) Document {
	if i.Key != documentKey || len(i.Value) < 8 {
		return Document{}
	}
	return Document{Number: binary.BigEndian.Uint64(i.Value), Source: i.Value[8:]}
}

// CurrentDocument returns the published document of a configuration.
func CurrentDocument(c model.Config) Document { return DocumentOf(c.Item(documentKey)) }

package state

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"cyclamenrelay.example/model"
)

// MaxDocument bounds a published document, in bytes: with its envelope it is
// within what a keeper takes as one command.
const MaxDocument = 900 << 10

// documentKey is the item that holds the published document.
var documentKey = model.ItemKey{Section: model.SectionDocument, Name: "current"}

// Document is a whole configuration that operators number themselves. Its
// source is opaque to the log.
type Document struct {
	// Number grows from one document to the next; 0 is no document.
	Number uint64
	Source []byte
}

// Publish asks for a document to replace one with a smaller number; the answer
// is Published.
type Publish struct {
	Number uint64 `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint"`
}

// Published answers Publish.
type Published struct {
	// Held is the number of the newest document after the command.
	Held uint64 `cbor:"1,keyasint"`
	// Conflict is set when another document with the same number is held.
	Conflict bool `cbor:"2,keyasint,omitempty"`
	// Reason says why the document can never be taken, empty when it can.
	Reason string `cbor:"3,keyasint,omitempty"`
}

func (Publish) configCommand()  {}
func (Published) configAnswer() {}

// publish keeps the document with the highest number. A document with a smaller
// number than the held one changes nothing, and neither does a resent one. It
// is not part of the history, which would hold a thousand copies.
func (c *Config) publish(p Publish) Published {
	held := DocumentOf(c.Item(documentKey))
	switch {
	case p.Number == 0 || len(p.Source) == 0 || len(p.Source) > MaxDocument:
		return Published{Held: held.Number, Reason: fmt.Sprintf("a document has a number above 0 and 1 to %d bytes", MaxDocument)}
	case p.Number < held.Number:
		return Published{Held: held.Number}
	case p.Number == held.Number:
		return Published{Held: held.Number, Conflict: !bytes.Equal(p.Source, held.Source)}
	}
	c.version++
	c.put(model.Item{
		Key: documentKey, Count: c.Item(documentKey).Count + 1, Version: c.version,
		Value: append(binary.BigEndian.AppendUint64(nil, p.Number), p.Source...),
	})
	return Published{Held: p.Number}
}

// DocumentOf returns the document that the item holds, the zero Document when
// it holds none.
func DocumentOf(i model.Item) Document {
	if i.Key != documentKey || len(i.Value) < 8 {
		return Document{}
	}
	return Document{Number: binary.BigEndian.Uint64(i.Value), Source: i.Value[8:]}
}

// CurrentDocument returns the document of a configuration.
func CurrentDocument(c model.Config) Document { return DocumentOf(c.Item(documentKey)) }

// Package wire defines the messages between the system's own processes, and their
// encoding: a byte with the message code and a CBOR map with integer keys.
package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits on a decoded message.
const (
	MaxMessage  = 20 << 20 // bytes
	maxElements = 1 << 17  // elements of an array or pairs of a map
	maxNesting  = 16       // levels
)

// Code identifies a type of message on the wire.
type Code byte

// Message is a message between processes. All its types are declared in this
// package, and each is registered with its code.
type Message interface{ message() }

var (
	byCode = map[Code]reflect.Type{}
	byType = map[reflect.Type]Code{}
	enc    cbor.EncMode
	dec    cbor.DecMode
)

func init() {
	var err error
	enc, err = cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err = cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

func register(c Code, m Message) struct{} {
	t := reflect.TypeOf(m)
	if old, ok := byCode[c]; ok {
		panic("wire: the code of " + t.String() + " is already used by " + old.String())
	}
	byCode[c], byType[t] = t, c
	return struct{}{}
}

// Encode returns the encoded message. The errors are a trace.BadParameter for an
// unregistered type, and those of the CBOR encoder.
func Encode(m Message) ([]byte, error) {
	c, ok := byType[reflect.TypeOf(m)]
	if !ok {
		return nil, trace.BadParameter("message %T is not registered", m)
	}
	b, err := enc.Marshal(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append([]byte{byte(c)}, b...), nil
}

// Decode decodes a message. The error is a trace.BadParameter.
func Decode(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxMessage {
		return nil, trace.BadParameter("message has %d bytes, allowed are 1 to %d", len(b), MaxMessage)
	}
	t, ok := byCode[Code(b[0])]
	if !ok {
		return nil, trace.BadParameter("message code %d is unknown", b[0])
	}
	v := reflect.New(t)
	if err := dec.Unmarshal(b[1:], v.Interface()); err != nil {
		return nil, trace.BadParameter("message %s: %v", t.Name(), err)
	}
	return v.Elem().Interface().(Message), nil
}

// MarshalValue encodes a value of another package, such as a command of a
// replicated state machine, with the same CBOR options as messages.
func MarshalValue(v any) ([]byte, error) {
	b, err := enc.Marshal(v)
	return b, trace.Wrap(err)
}

// UnmarshalValue decodes a value from MarshalValue. The error is a
// trace.BadParameter.
func UnmarshalValue(b []byte, v any) error {
	if err := dec.Unmarshal(b, v); err != nil {
		return trace.BadParameter("%T: %v", v, err)
	}
	return nil
}

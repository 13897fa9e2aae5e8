package guard

import (
	"github.com/gravitational/trace"
)

const (
	// MaxObjects bounds the objects in a JSON body. One of two bytes decodes to hundreds, so
	// that a body of legal size could take a hundred times its bytes. More than the largest
	// legal job and configuration need.
	MaxObjects = 16_384
	// objectBytes and elementBytes are what an object and an element of a list take when
	// decoded, with the buffers that are discarded while the lists grow.
	objectBytes  = 384
	elementBytes = 24
)

// DecodedSize returns an upper estimate of the bytes that the decoded form of a JSON text
// takes. The error is a trace.BadParameter for a text with too many objects.
func DecodedSize(b []byte) (int64, error) {
	objects, elements := 0, 0
	quoted, escaped := false, false
	for _, ch := range b {
		switch {
		case quoted:
			quoted = escaped || ch != '"'
			escaped = !escaped && ch == '\\'
		case ch == '"':
			quoted = true
		case ch == '{':
			objects++
		case ch == ',' || ch == '[':
			elements++
		}
	}
	if objects > MaxObjects {
		return 0, trace.BadParameter("the body has %d objects, allowed are %d", objects, MaxObjects)
	}
	return int64(len(b) + objects*objectBytes + elements*elementBytes), nil
}

package guard

import (
	"github.com/gravitational/trace"
)

const (
	// MaxObjects bounds the objects in a JSON body and the elements of the lists directly in
	// it. One of two bytes decodes to hundreds, so that a body of legal size could take a
	// hundred times its bytes. It is more than the largest legal job and configuration need.
	MaxObjects = 12_288
	// objectBytes and elementBytes are what an object and an element of a list take when
	// decoded, with the buffers that are discarded while the lists grow.
	objectBytes  = 512
	elementBytes = 24
	// topList is the depth of the lists directly in a body. Their elements decode to objects
	// even if they are none, such as null.
	topList = 2
)

// DecodedSize returns an upper estimate of the bytes that the decoded form of a JSON text
// takes. The error is a trace.BadParameter for a text with too many objects.
func DecodedSize(b []byte) (int64, error) {
	objects, elements, depth := 0, 0, 0
	inTopList := false // the container at the depth of topList is a list
	quoted, escaped := false, false
	for _, ch := range b {
		if quoted {
			quoted = escaped || ch != '"'
			escaped = !escaped && ch == '\\'
			continue
		}
		switch ch {
		case '"':
			quoted = true
		case '{', '[':
			isElement := depth == topList && inTopList // counted by its comma
			depth++
			if depth == topList {
				inTopList = ch == '['
			}
			switch {
			case isElement:
			case ch == '{' || depth == topList:
				objects++ // of a list in the body, the first element
			default:
				elements++
			}
		case '}', ']':
			depth--
		case ',':
			if depth == topList && inTopList {
				objects++
			} else {
				elements++
			}
		}
	}
	if objects > MaxObjects {
		return 0, trace.BadParameter("the body has more than %d objects or elements of lists", MaxObjects)
	}
	return int64(len(b) + objects*objectBytes + elements*elementBytes), nil
}

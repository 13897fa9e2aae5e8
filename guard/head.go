package guard

// maxLead bounds the empty lines before a request. Old clients send one after a body.
const maxLead = 4

// head counts the lines and bytes of a request's head as they are read.
type head struct {
	lead  int // empty lines before the request
	lines int
	bytes int
	after int  // bytes that were read after the end of the head
	line  int  // bytes of the present line without carriage returns
	ended bool // the empty line has been read
}

// scan counts b and returns the lines and bytes that were added to the head.
func (h *head) scan(b []byte) (lines, bytes int) {
	before, size := h.lines, h.bytes
	for i, ch := range b {
		if h.ended {
			h.after += len(b) - i
			break
		}
		h.bytes++
		switch {
		case ch != '\n':
			if ch != '\r' {
				h.line++
			}
		case h.line > 0:
			h.lines++
			h.line = 0
		case h.lines == 0:
			h.lead++
		default:
			h.ended = true
		}
	}
	return h.lines - before, h.bytes - size
}

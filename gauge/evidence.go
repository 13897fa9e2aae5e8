package gauge

// evidenceSize is how many targets are remembered for each kind.
const evidenceSize = 16

// Evidence remembers the last outcome of a kind of work at each of a few targets T.
type Evidence[T comparable] struct {
	last [evidenceSize]struct {
		t      T
		known  bool
		failed bool
	}
	next int
}

// Note records an outcome and returns how much a failure at t says of t itself:
// little when the same kind fails at other targets too.
func (e *Evidence[T]) Note(t T, failed bool) float64 {
	others, bad, at := 0, 0, -1
	for i := range e.last {
		switch l := &e.last[i]; {
		case l.known && l.t == t:
			at = i
		case l.known:
			others++
			if l.failed {
				bad++
			}
		}
	}
	if at < 0 {
		at = e.next
		e.next = (e.next + 1) % evidenceSize
	}
	e.last[at].t, e.last[at].known, e.last[at].failed = t, true, failed
	if others == 0 {
		return 1
	}
	w := 1 - float64(bad)/float64(others)
	return w * w
}

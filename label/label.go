// Package label parses and evaluates selectors over labels.
package label

import (
	"cyclamenrelay.example/model"

	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/labels"
)

// Selector selects sets of labels. The zero value selects everything.
type Selector struct {
	text string
	sel  labels.Selector
}

// Parse parses a selector such as "kind in (match,tag),!probation,rack=a2".
// The empty text selects everything. The error is a trace.BadParameter.
func Parse(text string) (Selector, error) {
	if len(text) > model.MaxSelector {
		return Selector{}, trace.BadParameter("selector has %d bytes, at most %d are allowed", len(text), model.MaxSelector)
	}
	s, err := labels.Parse(text)
	if err != nil {
		return Selector{}, trace.BadParameter("selector %q: %v", text, err)
	}
	return Selector{text: text, sel: s}, nil
}

// Matches reports whether s selects the set of labels l.
func (s Selector) Matches(l model.Labels) bool {
	return s.sel == nil || s.sel.Matches(labels.Set(l))
}

// String returns the text that s was parsed from.
func (s Selector) String() string { return s.text }

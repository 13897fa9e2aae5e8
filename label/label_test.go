package label_test

import (
	"fmt"
	"strings"
	"testing"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"

	"gotest.tools/v3/assert"
)

func ExampleParse() {
	s, _ := label.Parse("kind in (match,claim),!bulk")
	fmt.Println(s.Matches(model.Labels{"kind": "match"}))
	fmt.Println(s.Matches(model.Labels{"kind": "match", "bulk": "yes"}))
	// Output:
	// true
	// false
}

func TestParseRefusesBrokenSelectors(t *testing.T) {
	for _, text := range []string{"kind in", "a=b=c", "=x", strings.Repeat("a", model.MaxSelector+1)} {
		_, err := label.Parse(text)
		assert.Assert(t, err != nil, "selector %q", text)
	}
}

func TestZeroSelectorMatchesAll(t *testing.T) {
	assert.Assert(t, label.Selector{}.Matches(model.Labels{"a": "b"}))
}

func FuzzParse(f *testing.F) {
	f.Add("a in (b,c),!d")
	f.Fuzz(func(_ *testing.T, text string) {
		s, err := label.Parse(text)
		if err == nil {
			s.Matches(model.Labels{"a": "b"})
		}
	})
}

package conf

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxList       = 1024 // elements of a list
	maxShownBytes = 80   // bytes of a value or path in a message
	maxProblems   = 200  // problems reported at once
)

// Problem is one error in the settings.
type Problem struct {
	// Path is the path of the field, such as "keeper.initialMembers[1].address".
	Path string `json:"path"`
	// Value is the invalid value as JSON, empty when the field is unknown or missing.
	Value string `json:"value,omitempty"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "settings"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: must be %s", path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not valid, must be %s", path, p.Value, p.Allowed)
}

// Problems are all errors in the settings.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// As lets errors.As treat p as a trace.BadParameter.
func (p Problems) As(target any) bool {
	t, ok := target.(**trace.BadParameterError)
	if ok {
		*t = &trace.BadParameterError{Message: p.Error()}
	}
	return ok
}

// checker collects problems, at most one per path. A field that has a problem, for
// example because it could not be decoded, gets no further ones, nor do the fields
// within it.
type checker struct{ problems Problems }

// add records a problem unless the path, or one that contains it, has one already.
func (c *checker) add(path string, value any, allowed string) {
	path = truncate(path)
	covers := func(p Problem) bool {
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && (p.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	}
	if len(c.problems) == maxProblems || slices.ContainsFunc(c.problems, covers) {
		return
	}
	c.problems = append(c.problems, Problem{Path: path, Value: formatValue(value), Allowed: allowed})
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return trace.Wrap(c.problems)
}

// formatValue returns the value as JSON of limited length, empty for an empty
// string or a missing list.
func formatValue(value any) string {
	if s, ok := value.(string); ok && s == "" {
		return ""
	}
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	if value != nil && string(b) == "null" {
		return "" // a nil list: the field is missing
	}
	return truncate(string(b))
}

// truncate returns s cut off at maxShownBytes.
func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "…"
}

// name checks the name of a node or data centre.
func (c *checker) name(path, v string, valid func(string) bool) {
	if !valid(v) {
		c.add(path, v, "1 to 63 letters, digits and . _ @ -, starting with a letter or digit")
	}
}

// address checks an IP address with a port for other nodes to connect to.
func (c *checker) address(path, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.add(path, v, "an IP address and port that others can reach, such as 10.1.0.7:7400")
	}
}

// listen checks an IP address with a port to listen on.
func (c *checker) listen(path, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.add(path, v, "an IP address and port, such as 10.1.0.7:7400 or 0.0.0.0:7400")
	}
}

func (c *checker) file(path, v string) {
	if v == "" || strings.ContainsRune(v, 0) {
		c.add(path, v, "the path of a file")
	}
}

func (c *checker) httpURL(path, v string) {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil {
		c.add(path, v, "an http or https URL without a user")
	}
}

func (c *checker) duration(path string, v, low, high Duration) {
	if v < low || v > high {
		c.add(path, v, fmt.Sprintf("%v to %v", low, high))
	}
}

func (c *checker) number(path string, v, low, high int) {
	if v < low || v > high {
		c.add(path, v, fmt.Sprintf("%d to %d", low, high))
	}
}

// optional checks a number that may be unset.
func (c *checker) optional(path string, v Number, low, high float64) {
	if v != 0 && (float64(v) < low || float64(v) > high) {
		c.add(path, v, fmt.Sprintf("%g to %g, or empty", low, high))
	}
}

func (c *checker) oneOf(path, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.add(path, v, "one of "+strings.Join(allowed, ", "))
	}
}

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

func millis(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

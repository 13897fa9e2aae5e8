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
	maxList     = 1024 // elements of a list
	maxShown    = 80   // bytes of a value or of a path in a message
	maxProblems = 200  // problems that are reported at once
)

// Problem is one thing wrong with the settings.
type Problem struct {
	// Path is the field, such as "keeper.initialMembers[1].address".
	Path string `json:"path"`
	// Value is what stands there as JSON, empty when the field itself is wrong.
	Value string `json:"value,omitempty"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "settings"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: wanted is %s", path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed, wanted is %s", path, p.Value, p.Allowed)
}

// Problems are all the things wrong with the settings.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// As makes p a trace.BadParameter to errors.As.
func (p Problems) As(target any) bool {
	t, ok := target.(**trace.BadParameterError)
	if ok {
		*t = &trace.BadParameterError{Message: p.Error()}
	}
	return ok
}

// checker collects problems, one a path: what fails to decode is not checked
// again, nor what lies within it.
type checker struct{ problems Problems }

func (c *checker) add(path string, value any, allowed string) {
	path = cut(path)
	covers := func(p Problem) bool {
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && (p.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	}
	if len(c.problems) == maxProblems || slices.ContainsFunc(c.problems, covers) {
		return
	}
	c.problems = append(c.problems, Problem{Path: path, Value: show(value), Allowed: allowed})
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return trace.Wrap(c.problems)
}

func show(value any) string {
	if s, ok := value.(string); ok && s == "" {
		return ""
	}
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%T", value)
	}
	if value != nil && string(b) == "null" {
		return "" // a list that is not there
	}
	return cut(string(b))
}

func cut(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "…"
}

// name checks a name of letters, digits and . _ @ -.
func (c *checker) name(path, v string, valid func(string) bool) {
	if !valid(v) {
		c.add(path, v, "1 to 63 letters, digits and . _ @ -, a letter or digit first")
	}
}

// address checks an IP address with a port that others can reach.
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

func (c *checker) oneOf(path, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.add(path, v, "one of "+strings.Join(allowed, ", "))
	}
}

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

func millis(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

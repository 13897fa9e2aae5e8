package state

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

// Bounds on the values of the configuration.
const (
	MaxValue      = 64 << 10  // bytes of an item's value
	MaxName       = 128       // bytes of an item's, operator's or change's name
	MaxNumber     = 1_000_000 // weights, quotas, queue bounds and orders
	maxShownValue = 80        // bytes of a value shown in an error
)

// FieldError is a validation error of one field of an item.
type FieldError struct {
	// Path is the field's path, such as "set.zone", empty for the whole value.
	Path string
	// Value is the field's value as JSON, shortened.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Invalid is the validation error of an item; it holds every wrong field.
type Invalid struct {
	Key    model.ItemKey
	Fields []FieldError
}

// Error describes all wrong fields.
func (e Invalid) Error() string {
	parts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		parts[i] = fmt.Sprintf("%s: %s is not allowed, allowed is %s", f.Path, f.Value, f.Allowed)
	}
	text := fmt.Sprintf("%s %q: %s", e.Key.Section, e.Key.Name, strings.Join(parts, "; "))
	return strings.ToValidUTF8(text, "?")
}

// Check validates the key and the JSON value of an item. The error is an
// Invalid.
func Check(key model.ItemKey, value []byte) error {
	c := &checker{}
	if !ValidKey(key) {
		c.add("name", key.Name, fmt.Sprintf("1 to %d letters, digits or any of ._-", MaxName))
	}
	if len(value) > MaxValue {
		c.add("value", fmt.Sprintf("%d bytes", len(value)), fmt.Sprintf("at most %d bytes", MaxValue))
	} else {
		c.section(key.Section, value)
	}
	if len(c.fields) > 0 {
		return Invalid{Key: key, Fields: c.fields}
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > MaxName {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && !strings.ContainsRune("._-", r)
	})
}

// ValidKey reports whether an item may have the key. An evacuation has the name of a data
// centre, which may contain @ as names of nodes do.
func ValidKey(k model.ItemKey) bool {
	if k.Section == model.SectionEvacuation {
		return validName(strings.ReplaceAll(k.Name, "@", "-"))
	}
	return validName(k.Name)
}

type checker struct{ fields []FieldError }

func (c *checker) add(path string, value any, allowed string) {
	text, ok := value.(string)
	if !ok {
		text = fmt.Sprint(value)
	}
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + "..."
	}
	c.fields = append(c.fields, FieldError{Path: path, Value: text, Allowed: allowed})
}

func (c *checker) section(s model.Section, value []byte) {
	switch s {
	case model.SectionRule:
		var r model.Rule
		if c.decode(value, &r) {
			c.rule(r)
		}
	case model.SectionOverlay:
		var o model.Overlay
		if c.decode(value, &o, "targets") {
			c.overlay(o)
		}
	case model.SectionDrain:
		var d model.Drain
		if c.decode(value, &d, "targets") {
			c.selector("targets", d.Targets)
			c.length("reason", d.Reason, 0, 1024)
		}
	case model.SectionEvacuation:
		var e model.Evacuation
		if c.decode(value, &e) {
			c.length("address", e.Address, 0, MaxName)
		}
	case model.SectionTeam:
		var t model.Team
		if c.decode(value, &t) {
			c.intRange("quota", t.Quota, 0, MaxNumber)
			c.intRange("weight", t.Weight, 1, MaxNumber)
		}
	case model.SectionMember:
		var m model.Member
		if c.decode(value, &m) {
			c.member(m)
		}
	default:
		c.add("section", string(s), "rule, overlay, drain, evacuation, team or member")
	}
}

// decode unmarshals the JSON value into the struct that p points to, field by
// field so that all errors are reported. It returns false when the value is not
// a JSON object.
func (c *checker) decode(value []byte, p any, required ...string) bool {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(value, &raw); err != nil || raw == nil {
		c.add("", string(value), "a JSON object")
		return false
	}
	v := reflect.ValueOf(p).Elem()
	var known []string
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		known = append(known, name)
		field, ok := raw[name]
		if !ok && slices.Contains(required, name) {
			c.add(name, "a missing field", v.Field(i).Kind().String())
		}
		if !ok {
			continue
		}
		if err := json.Unmarshal(field, v.Field(i).Addr().Interface()); err != nil || string(field) == "null" {
			c.add(name, string(field), v.Field(i).Type().String())
		}
	}
	for _, name := range sortedKeys(raw) {
		if !slices.Contains(known, name) {
			c.add(name, "an unknown field", "one of "+strings.Join(known, ", "))
		}
	}
	return true
}

func (c *checker) intRange(path string, n, low, high int) {
	if n < low || n > high {
		c.add(path, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) floatRange(path string, x, high float64) {
	if x < 0 || x > high {
		c.add(path, x, fmt.Sprintf("0 to %v", high))
	}
}

func (c *checker) length(path, s string, low, high int) {
	if len(s) < low || len(s) > high {
		c.add(path, fmt.Sprintf("%d bytes", len(s)), fmt.Sprintf("%d to %d bytes", low, high))
	}
}

func (c *checker) selector(path, text string) {
	if _, err := label.Parse(text); err != nil {
		c.add(path, fmt.Sprintf("%q", text), "a selector such as kind in (a,b),!c")
	}
}

func (c *checker) rule(r model.Rule) {
	c.selector("work", r.Work)
	c.selector("targets", r.Targets)
	c.intRange("order", r.Order, -MaxNumber, MaxNumber)
	c.intRange("weight", r.Weight, 1, MaxNumber)
	if r.Urgency != nil {
		c.intRange("urgency", *r.Urgency, 0, model.MaxUrgency)
	}
	c.intRange("queueBound", r.QueueBound, 0, MaxNumber)
	c.floatRange("retryBudget", r.RetryBudget, 1)
	c.floatRange("hedge", r.Hedge, 0.9999)
}

func (c *checker) overlay(o model.Overlay) {
	c.selector("targets", o.Targets)
	if len(o.Set)+len(o.Remove) > model.MaxLabels {
		c.add("set", fmt.Sprintf("%d labels", len(o.Set)+len(o.Remove)), fmt.Sprintf("at most %d with those of remove", model.MaxLabels))
	}
	for _, name := range sortedKeys(o.Set) {
		c.label("set."+name, name, o.Set[name])
		if slices.Contains(o.Remove, name) {
			c.add("remove", fmt.Sprintf("%q", name), "a label that is not set as well")
		}
	}
	for i, name := range o.Remove {
		c.label(fmt.Sprintf("remove[%d]", i), name, "")
	}
}

// label checks that the label can be written in a selector.
func (c *checker) label(path, name, value string) {
	c.length(path, name, 1, model.MaxLabelLen)
	c.length(path, value, 0, model.MaxLabelLen)
	if _, err := label.Parse(name + "=" + value); err != nil || strings.ContainsAny(name+value, "=!<>,() ") {
		c.add(path, fmt.Sprintf("%q", name+"="+value), "a name and value of letters, digits or any of ._-")
	}
}

func (c *checker) member(m model.Member) {
	a, err := netip.ParseAddrPort(m.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.add("address", fmt.Sprintf("%q", m.Address), "an IP address and port such as 10.0.0.1:7400")
	}
	if !validName(m.DataCentre) {
		c.add("dataCentre", fmt.Sprintf("%q", m.DataCentre), "a name")
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

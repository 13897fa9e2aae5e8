package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/util/validation"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

const (
	maxBody   = 64 << 10 // bytes in a request
	maxWeight = 1_000_000
	maxOrder  = 1_000_000
	maxQuota  = 10_000_000
	maxBound  = 10_000_000
	maxReason = 500 // bytes in a drain's reason
)

// FieldError says which field of a request is wrong.
type FieldError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

func wrong(field, message string) error {
	return trace.Wrap(&FieldError{Field: field, Message: message})
}

// readStrict reads one JSON object without unknown fields from r into v.
func readStrict(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return trace.BadParameter("body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return trace.BadParameter("body: one JSON object is allowed, nothing after it")
	}
	return nil
}

// change checks the request and returns it as a change by the operator, its
// value in canonical form.
func (r ChangeRequest) change(operator string) (model.Change, error) {
	c := model.Change{
		ID: r.ID, Operator: operator, Expected: r.Expected,
		Key: model.ItemKey{Section: r.Section, Name: r.Name},
	}
	if err := checkID(r.ID); err != nil {
		return c, err
	}
	if !keys.ValidName(r.Name) {
		return c, wrong("name", "1 to 63 letters, digits and . _ @ - are allowed, a letter or digit first")
	}
	v, err := valueOf(r.Section)
	if err != nil || r.Value == nil || string(r.Value) == "null" {
		return c, err
	}
	if err := readStrict(bytes.NewReader(r.Value), v); err != nil {
		return c, wrong("value", trace.Unwrap(err).Error())
	}
	if err := v.check(); err != nil {
		return c, err
	}
	c.Value, err = json.Marshal(v)
	return c, trace.Wrap(err)
}

func checkID(id string) error {
	if u, err := uuid.Parse(id); err != nil || u.String() != id {
		return wrong("id", "a UUID in lower case is wanted")
	}
	return nil
}

// value is the content of an item.
type value interface{ check() error }

type (
	rule    struct{ model.Rule }
	overlay struct{ model.Overlay }
	drain   struct{ model.Drain }
	team    struct{ model.Team }
)

func valueOf(s model.Section) (value, error) {
	switch s {
	case model.SectionRule:
		return &rule{}, nil
	case model.SectionOverlay:
		return &overlay{}, nil
	case model.SectionDrain:
		return &drain{}, nil
	case model.SectionTeam:
		return &team{}, nil
	}
	return nil, wrong("section", "rule, overlay, drain and team are allowed")
}

func checkSelector(field, text string) error {
	if _, err := label.Parse(text); err != nil {
		return wrong(field, trace.Unwrap(err).Error())
	}
	return nil
}

func checkRange(field string, ok bool, allowed string) error {
	if ok {
		return nil
	}
	return wrong(field, allowed+" is allowed")
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *rule) check() error {
	return first(
		checkSelector("value.work", r.Work),
		checkSelector("value.targets", r.Targets),
		checkRange("value.order", r.Order >= 0 && r.Order <= maxOrder, "0 to 1000000"),
		checkRange("value.weight", r.Weight >= 1 && r.Weight <= maxWeight, "1 to 1000000"),
		checkRange("value.urgency", r.Urgency == nil || (*r.Urgency >= 0 && *r.Urgency <= model.MaxUrgency), "0 to 9"),
		checkRange("value.queueBound", r.QueueBound >= 0 && r.QueueBound <= maxBound, "0 to 10000000"),
		checkRange("value.retryBudget", r.RetryBudget >= 0 && r.RetryBudget <= 1, "0 to 1"),
		checkRange("value.hedge", r.Hedge >= 0 && r.Hedge < 1, "0 up to 1"),
	)
}

func (o *overlay) check() error {
	if err := checkSelector("value.targets", o.Targets); err != nil {
		return err
	}
	if len(o.Set)+len(o.Remove) == 0 || len(o.Set)+len(o.Remove) > model.MaxLabels {
		return wrong("value.set", "1 to 32 labels set or removed are allowed")
	}
	for k, v := range o.Set {
		if len(validation.IsQualifiedName(k)) > 0 || len(validation.IsValidLabelValue(v)) > 0 {
			return wrong("value.set", "label "+k+"="+v+" is not allowed")
		}
	}
	for _, k := range o.Remove {
		if _, both := o.Set[k]; both || len(validation.IsQualifiedName(k)) > 0 {
			return wrong("value.remove", "label "+k+" is not allowed or is also set")
		}
	}
	return nil
}

func (d *drain) check() error {
	return first(
		checkSelector("value.targets", d.Targets),
		checkRange("value.reason", len(d.Reason) <= maxReason, "up to 500 bytes"),
	)
}

func (t *team) check() error {
	return first(
		checkRange("value.quota", t.Quota >= 0 && t.Quota <= maxQuota, "0 to 10000000"),
		checkRange("value.weight", t.Weight >= 1 && t.Weight <= maxWeight, "1 to 1000000"),
	)
}

func (c MemberChange) check() error {
	if err := checkID(c.ID); err != nil {
		return err
	}
	if !keys.ValidName(c.Name) {
		return wrong("name", "1 to 63 letters, digits and . _ @ - are allowed")
	}
	if (c.Action == MemberReplace) != (c.Replaces != "") || c.Replaces == c.Name || (c.Replaces != "" && !keys.ValidName(c.Replaces)) {
		return wrong("replaces", "the name of the lost member is wanted with the action replace only; the new name must differ")
	}
	switch c.Action {
	case MemberAdd, MemberReplace:
		a, err := netip.ParseAddrPort(c.Address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			return wrong("address", "an IP address and port is wanted")
		}
		return checkRange("dataCentre", keys.ValidName(c.DataCentre), "a name")
	case MemberRemove:
		return checkRange("address", c.Address == "" && c.DataCentre == "", "no address or data centre")
	}
	return wrong("action", "add, replace and remove are allowed")
}

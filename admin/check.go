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
	maxBodyBytes   = 64 << 10 // bytes in a request body
	maxWeight      = 1_000_000
	maxOrder       = 1_000_000
	maxQuota       = 10_000_000
	maxQueueBound  = 10_000_000
	maxReasonBytes = 500 // bytes in a drain's reason
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

func newFieldError(field, message string) error {
	return trace.Wrap(&FieldError{Field: field, Message: message})
}

// readStrict decodes exactly one JSON object from r into v and rejects unknown
// fields. Errors are trace.BadParameter.
func readStrict(r io.Reader, v any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return trace.BadParameter("body: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return trace.BadParameter("body: must be one JSON object with nothing after it")
	}
	return nil
}

// change validates the request and returns it as a change by the operator, with
// the value re-encoded in canonical form.
func (r ChangeRequest) change(operator string) (model.Change, error) {
	c := model.Change{
		ID: r.ID, Operator: operator, Expected: r.Expected,
		Key: model.ItemKey{Section: r.Section, Name: r.Name},
	}
	if err := checkID(r.ID); err != nil {
		return c, err
	}
	if !keys.ValidName(r.Name) {
		return c, newFieldError("name", "must be 1 to 63 letters, digits and . _ @ -, starting with a letter or digit")
	}
	v, err := newItemValue(r.Section)
	if err != nil || r.Value == nil || string(r.Value) == "null" {
		return c, err
	}
	if err := readStrict(bytes.NewReader(r.Value), v); err != nil {
		return c, newFieldError("value", trace.Unwrap(err).Error())
	}
	if err := v.check(); err != nil {
		return c, err
	}
	c.Value, err = json.Marshal(v)
	return c, trace.Wrap(err)
}

func checkID(id string) error {
	if u, err := uuid.Parse(id); err != nil || u.String() != id {
		return newFieldError("id", "must be a UUID in lower case")
	}
	return nil
}

// itemValue is the content of a configuration item that can validate itself.
type itemValue interface{ check() error }

type (
	rule    struct{ model.Rule }
	overlay struct{ model.Overlay }
	drain   struct{ model.Drain }
	team    struct{ model.Team }
	// The server fills in an evacuation itself.
	evacuation struct{}
)

func newItemValue(s model.Section) (itemValue, error) {
	switch s {
	case model.SectionRule:
		return &rule{}, nil
	case model.SectionOverlay:
		return &overlay{}, nil
	case model.SectionDrain:
		return &drain{}, nil
	case model.SectionTeam:
		return &team{}, nil
	case model.SectionEvacuation:
		return &evacuation{}, nil
	}
	return nil, newFieldError("section", "must be rule, overlay, drain, evacuation or team")
}

func checkSelector(field, text string) error {
	if _, err := label.Parse(text); err != nil {
		return newFieldError(field, trace.Unwrap(err).Error())
	}
	return nil
}

func checkField(field string, valid bool, allowed string) error {
	if valid {
		return nil
	}
	return newFieldError(field, allowed+" expected")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *rule) check() error {
	return firstError(
		checkSelector("value.work", r.Work),
		checkSelector("value.targets", r.Targets),
		checkField("value.order", r.Order >= 0 && r.Order <= maxOrder, "0 to 1000000"),
		checkField("value.weight", r.Weight >= 1 && r.Weight <= maxWeight, "1 to 1000000"),
		checkField("value.urgency", r.Urgency == nil || (*r.Urgency >= 0 && *r.Urgency <= model.MaxUrgency), "0 to 9"),
		checkField("value.queueBound", r.QueueBound >= 0 && r.QueueBound <= maxQueueBound, "0 to 10000000"),
		checkField("value.retryBudget", r.RetryBudget >= 0 && r.RetryBudget <= 1, "0 to 1"),
		checkField("value.hedge", r.Hedge >= 0 && r.Hedge < 1, "0 up to 1"),
	)
}

func (o *overlay) check() error {
	if err := checkSelector("value.targets", o.Targets); err != nil {
		return err
	}
	if len(o.Set)+len(o.Remove) == 0 || len(o.Set)+len(o.Remove) > model.MaxLabels {
		return newFieldError("value.set", "must set or remove 1 to 32 labels in all")
	}
	for k, v := range o.Set {
		if len(validation.IsQualifiedName(k)) > 0 || len(validation.IsValidLabelValue(v)) > 0 {
			return newFieldError("value.set", "label "+k+"="+v+" is not a valid label")
		}
	}
	for _, k := range o.Remove {
		if _, both := o.Set[k]; both || len(validation.IsQualifiedName(k)) > 0 {
			return newFieldError("value.remove", "label "+k+" is not a valid name or is also set")
		}
	}
	return nil
}

func (d *drain) check() error {
	return firstError(
		checkSelector("value.targets", d.Targets),
		checkField("value.reason", len(d.Reason) <= maxReasonBytes, "up to 500 bytes"),
	)
}

func (*evacuation) check() error { return nil }

func (t *team) check() error {
	return firstError(
		checkField("value.quota", t.Quota >= 0 && t.Quota <= maxQuota, "0 to 10000000"),
		checkField("value.weight", t.Weight >= 1 && t.Weight <= maxWeight, "1 to 1000000"),
	)
}

func (c MemberChange) check() error {
	if err := checkID(c.ID); err != nil {
		return err
	}
	if !keys.ValidName(c.Name) {
		return newFieldError("name", "must be 1 to 63 letters, digits and . _ @ -")
	}
	if (c.Action == MemberReplace) != (c.Replaces != "") || c.Replaces == c.Name || (c.Replaces != "" && !keys.ValidName(c.Replaces)) {
		return newFieldError("replaces", "must name the lost member with the action replace, and be empty with other actions; the new name must differ")
	}
	switch c.Action {
	case MemberAdd, MemberReplace:
		a, err := netip.ParseAddrPort(c.Address)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
			return newFieldError("address", "must be an IP address and a port")
		}
		return checkField("dataCentre", keys.ValidName(c.DataCentre), "a name")
	case MemberRemove:
		return checkField("address", c.Address == "" && c.DataCentre == "", "no address or data centre with the action remove")
	}
	return newFieldError("action", "must be add, replace or remove")
}

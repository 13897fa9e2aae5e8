package model

import (
	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/util/validation"
)

// CheckLabels validates labels received from outside: their number, their length,
// and that selectors can express their names and values. The error is a
// trace.BadParameter.
func CheckLabels(l Labels) error {
	if len(l) > MaxLabels {
		return trace.BadParameter("labels: %d are too many, at most %d are allowed", len(l), MaxLabels)
	}
	for k, v := range l {
		if errs := validation.IsQualifiedName(k); len(errs) > 0 || len(k) > MaxLabelLen {
			return trace.BadParameter("labels: name %q is not allowed", k)
		}
		if errs := validation.IsValidLabelValue(v); len(errs) > 0 {
			return trace.BadParameter("labels: value %q of %s is not allowed", v, k)
		}
	}
	return nil
}

// CheckTarget validates an announced target. The error is a trace.BadParameter that
// names the fields.
func CheckTarget(t Target) error {
	var errs []error
	if t.Name == "" || len(t.Name) > MaxLabelLen {
		errs = append(errs, trace.BadParameter("name: 1 to %d bytes are allowed", MaxLabelLen))
	}
	if len(t.DataCentre) > MaxLabelLen {
		errs = append(errs, trace.BadParameter("dataCentre: at most %d bytes are allowed", MaxLabelLen))
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		errs = append(errs, trace.BadParameter("slots: %d is not within 1 to %d", t.Slots, MaxSlots))
	}
	if t.MaxConns < t.Slots {
		errs = append(errs, trace.BadParameter("connections: %d is fewer than the slots", t.MaxConns))
	}
	errs = append(errs, CheckLabels(t.Labels))
	return trace.NewAggregate(errs...)
}

package model

import (
	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/util/validation"
)

// CheckLabels reports what is wrong with labels from outside: too many, too
// long, or with a name or value that no selector can name. The error is a
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

// Package evac determines which data centres are evacuated: by a configuration, and by
// what an agent has been told, with its version and its age. It does no I/O.
package evac

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cyclamenrelay.example/model"
)

// Order is an evacuation in force.
type Order struct {
	DataCentre string
	// Operator requested the evacuation from Address at the time At.
	Operator, Address string
	At                time.Time
	// Version is the version of the configuration since which it is in force.
	Version uint64
}

// Set holds the evacuations that are in force at one version of a configuration. The zero
// value is that of an empty configuration.
type Set struct {
	version uint64
	orders  []Order // in the order of the data centres' names
}

// FromConfig returns the evacuations of a configuration.
func FromConfig(c model.Config) Set {
	s := Set{version: c.Version()}
	for _, i := range c.Items(model.SectionEvacuation) {
		var e model.Evacuation
		// A value that cannot be decoded is from a newer build. The item alone says that the
		// data centre is evacuated.
		_ = json.Unmarshal(i.Value, &e)
		s.orders = append(s.orders, Order{DataCentre: i.Key.Name, Operator: i.Operator, Address: e.Address, At: e.At, Version: i.Version})
	}
	slices.SortFunc(s.orders, func(a, b Order) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return s
}

// Version returns the version of the configuration.
func (s Set) Version() uint64 { return s.version }

// Has reports whether the data centre is evacuated.
func (s Set) Has(dataCentre string) bool {
	return slices.ContainsFunc(s.orders, func(o Order) bool { return o.DataCentre == dataCentre })
}

// Orders returns the evacuations in the order of the data centres' names.
func (s Set) Orders() []Order { return slices.Clone(s.orders) }

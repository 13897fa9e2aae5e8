package model

import (
	"maps"
	"time"
)

// Section is the part of the configuration that an item belongs to.
type Section string

// The sections of the configuration.
const (
	SectionRule    Section = "rule"    // Rule
	SectionOverlay Section = "overlay" // Overlay
	SectionDrain   Section = "drain"   // Drain
	SectionTeam    Section = "team"    // Team
	SectionMember  Section = "member"  // Member
	// SectionDocument holds the document that operators publish as a whole.
	SectionDocument Section = "document"
	// SectionEvacuation holds an Evacuation for each evacuated data centre, under its name.
	SectionEvacuation Section = "evacuation"
)

// ItemKey names an item of the configuration.
type ItemKey struct {
	Section Section `cbor:"1,keyasint" json:"section"`
	Name    string  `cbor:"2,keyasint" json:"name"`
}

// Item is one item of the configuration. A deleted item stays as a tombstone (nil
// Value), so that its count never decreases.
type Item struct {
	Key ItemKey `cbor:"1,keyasint" json:"key"`
	// Count is the number of accepted changes of the item.
	Count uint64 `cbor:"2,keyasint" json:"count"`
	// Version is the configuration's version at the last change.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// Value is the item as JSON, nil when deleted.
	Value []byte `cbor:"4,keyasint,omitempty" json:"value,omitempty"`
	// Operator made the last change, ChangeID identifies it.
	Operator string `cbor:"5,keyasint,omitempty" json:"operator,omitempty"`
	ChangeID string `cbor:"6,keyasint,omitempty" json:"changeId,omitempty"`
}

// Rule determines which targets may take which work, and with what weight.
type Rule struct {
	// Work selects tasks and Targets the targets that may take them; empty selects all.
	Work    string `json:"work"`
	Targets string `json:"targets"`
	// Order decides between rules that select the same work: the lowest order wins,
	// then the first name.
	Order int `json:"order"`
	// Weight is the weight of this rule's work in the fair queueing, at least 1.
	Weight int `json:"weight"`
	// Urgency replaces the caller's urgency when set.
	Urgency *int `json:"urgency,omitempty"`
	// QueueBound bounds the queued tasks at each entry, 0 for the default.
	QueueBound int `json:"queueBound,omitempty"`
	// RetryBudget is the allowed number of retries and hedges per start (0.1 is one in
	// ten), 0 for the default.
	RetryBudget float64 `json:"retryBudget,omitempty"`
	// Hedge is the quantile of the run times after which idempotent work is hedged, 0 for never.
	Hedge float64 `json:"hedge,omitempty"`
}

// Overlay sets and removes labels of the targets that a selector selects.
type Overlay struct {
	Targets string            `json:"targets"`
	Set     map[string]string `json:"set,omitempty"`
	Remove  []string          `json:"remove,omitempty"`
}

// Drain keeps new work from the targets that a selector selects.
type Drain struct {
	Targets string `json:"targets"`
	Reason  string `json:"reason,omitempty"`
}

// Evacuation keeps new work from a data centre until the item is deleted.
type Evacuation struct {
	// Address is the network address from which the evacuation was requested.
	Address string `json:"address,omitempty"`
	// At is when it was requested, by the clock of the process that took the request.
	At time.Time `json:"at"`
}

// Team is the quota and the weight of a team.
type Team struct {
	// Quota is the most slots that the team's tasks may hold at once at all targets, 0 for no bound.
	Quota int `json:"quota"`
	// Weight is the team's weight in the fair queueing within a rule, at least 1.
	Weight int `json:"weight"`
}

// Member is a keeper that belongs to the cluster.
type Member struct {
	// Address is the IP address and UDP port at which it accepts links.
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Voter is false while the member is a learner.
	Voter bool `json:"voter"`
}

// Change is a request for one change of the configuration.
type Change struct {
	// ID identifies the change; a request that is sent again gets the first answer.
	ID       string  `cbor:"1,keyasint" json:"id"`
	Operator string  `cbor:"2,keyasint" json:"operator"`
	Key      ItemKey `cbor:"3,keyasint" json:"key"`
	// Expected is the item's count that the operator saw, 0 for a new item.
	Expected uint64 `cbor:"4,keyasint" json:"expected"`
	// Value is the new value as JSON, nil to delete.
	Value []byte `cbor:"5,keyasint,omitempty" json:"value,omitempty"`
}

// ChangeResult is the answer to a Change.
type ChangeResult struct {
	Accepted bool `cbor:"1,keyasint" json:"accepted"`
	// Item is the item after the change, or the current one when the change was refused.
	Item Item `cbor:"2,keyasint" json:"item"`
	// Version is the configuration's version after the change.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// Reason is why the change was refused.
	Reason string `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
}

// Delta holds the changes of a configuration from one version to another.
type Delta struct {
	// From is the version that the delta applies to, 0 for a whole configuration.
	From  uint64 `cbor:"1,keyasint"`
	To    uint64 `cbor:"2,keyasint"`
	Items []Item `cbor:"3,keyasint,omitempty"`
}

// Config is one version of the configuration.
type Config struct {
	version uint64
	items   map[ItemKey]Item
}

// Version returns the number of accepted changes; it never decreases.
func (c Config) Version() uint64 { return c.version }

// Item returns the item with the key; its Count is 0 when it has never existed.
func (c Config) Item(k ItemKey) Item {
	i, ok := c.items[k]
	if !ok {
		return Item{Key: k}
	}
	return i
}

// Items returns the items of a section that are not deleted, in no particular order.
func (c Config) Items(s Section) []Item {
	var out []Item
	for k, i := range c.items {
		if k.Section == s && i.Value != nil {
			out = append(out, i)
		}
	}
	return out
}

// DeltaSince returns the delta from version v to c, with the items changed after v.
func (c Config) DeltaSince(v uint64) Delta {
	d := Delta{From: v, To: c.version}
	for _, i := range c.items {
		if i.Version > v {
			d.Items = append(d.Items, i)
		}
	}
	return d
}

// Apply returns c with d applied and true, or c itself and false when d begins after
// c's version or is not newer.
func (c Config) Apply(d Delta) (Config, bool) {
	if d.To <= c.version || d.From > c.version {
		return c, false
	}
	items := maps.Clone(c.items)
	if items == nil {
		items = make(map[ItemKey]Item, len(d.Items))
	}
	for _, i := range d.Items {
		if i.Version > items[i.Key].Version {
			items[i.Key] = i
		}
	}
	return Config{version: d.To, items: items}, true
}

// Freshness proves how fresh a configuration is: a quorum of keepers confirmed that
// Version was the newest one.
type Freshness struct {
	Version uint64 `cbor:"1,keyasint"`
	// Age is the time since the confirmation.
	Age time.Duration `cbor:"2,keyasint"`
}

package state

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/wire"

	"github.com/gravitational/trace"
)

// Bounds of the configuration state machine.
const (
	// ChangeRetention is how long the answer to a change ID is kept for
	// deduplication. A later resend is refused, since its expected count is no
	// longer that of the item.
	ChangeRetention = 2 * time.Hour
	// MaxAnswers bounds the kept answers; changes beyond it are refused.
	MaxAnswers = 1 << 16
	// MaxItems bounds the items, tombstones included.
	MaxItems = 1 << 16
	// HistoryLen is the number of accepted changes kept in the history.
	HistoryLen = 1000
)

// Event is an accepted change in the history.
type Event struct {
	Item model.Item `cbor:"1,keyasint" json:"item"`
	// At is the time of the change, since the Unix epoch.
	At time.Duration `cbor:"2,keyasint" json:"at"`
}

// answer is the kept answer to a change ID; a resend gets it again.
type answer struct {
	ID     string             `cbor:"1,keyasint"`
	At     time.Duration      `cbor:"2,keyasint"`
	Result model.ChangeResult `cbor:"3,keyasint"`
}

// itemVersion is an item with the version of one of its changes.
type itemVersion struct {
	version uint64
	item    *model.Item
}

// Config is the state machine of the configuration. It implements Machine; its
// methods must not be called concurrently.
type Config struct {
	version uint64
	now     time.Duration
	items   map[model.ItemKey]*model.Item
	// byVersion holds the changes in the order of versions. Those that a later
	// change of the item superseded are removed only once they are the majority.
	byVersion []itemVersion
	answers   []answer
	byID      map[string]model.ChangeResult
	history   []Event
}

var _ Machine = (*Config)(nil)

// NewConfig returns an empty configuration at version 0.
func NewConfig() *Config {
	return &Config{items: map[model.ItemKey]*model.Item{}, byID: map[string]model.ChangeResult{}}
}

// Version returns the number of accepted changes.
func (c *Config) Version() uint64 { return c.version }

// Item returns the item with the key; its Count is 0 when there never was one.
func (c *Config) Item(k model.ItemKey) model.Item {
	if i, ok := c.items[k]; ok {
		return *i
	}
	return model.Item{Key: k}
}

// Since returns the items changed after version v, in the order of versions.
func (c *Config) Since(v uint64) model.Delta {
	d := model.Delta{From: v, To: c.version}
	start, _ := slices.BinarySearchFunc(c.byVersion, v+1, func(o itemVersion, v uint64) int { return cmp.Compare(o.version, v) })
	for _, o := range c.byVersion[start:] {
		if o.version > v && o.item.Version == o.version {
			d.Items = append(d.Items, *o.item)
		}
	}
	return d
}

// History returns the last n accepted changes, the newest first.
func (c *Config) History(n int) []Event {
	last := c.history[len(c.history)-min(max(n, 0), len(c.history), HistoryLen):]
	out := slices.Clone(last)
	slices.Reverse(out)
	return out
}

// Apply executes a ConfigCommand and returns a ConfigAnswer.
func (c *Config) Apply(_ uint64, now time.Duration, command []byte) []byte {
	c.now = max(c.now, now)
	c.expireAnswers()
	cmd, err := ConfigCommands.Decode(command)
	if err != nil {
		return ConfigAnswers.MustEncode(Changed{c.refuse(model.Change{}, err.Error())})
	}
	switch cmd := cmd.(type) {
	case Change:
		return ConfigAnswers.MustEncode(Changed{c.applyChange(cmd.Change)})
	case Publish:
		return ConfigAnswers.MustEncode(c.publish(cmd))
	default:
		panic(fmt.Sprintf("configuration command %T", cmd))
	}
}

// applyChange applies the change once per change ID: a resend within
// ChangeRetention gets the first answer.
func (c *Config) applyChange(ch model.Change) model.ChangeResult {
	if !validName(ch.ID) || !validName(ch.Operator) {
		return c.refuse(ch, "the change's ID and operator must be names")
	}
	if r, ok := c.byID[ch.ID]; ok {
		return r
	}
	item := c.Item(ch.Key)
	if item.ChangeID == ch.ID {
		return model.ChangeResult{Accepted: true, Item: item, Version: item.Version}
	}
	if len(c.answers) >= MaxAnswers {
		return c.refuse(ch, fmt.Sprintf("there are more than %d changes in %v, retry later", MaxAnswers, ChangeRetention))
	}
	r := c.validateAndApply(ch, item)
	c.answers = append(c.answers, answer{ID: ch.ID, At: c.now, Result: r})
	c.byID[ch.ID] = r
	return r
}

func (c *Config) validateAndApply(ch model.Change, item model.Item) model.ChangeResult {
	if ch.Expected != item.Count {
		return c.refuse(ch, fmt.Sprintf("conflict: expected count %d, the item has %d by %q", ch.Expected, item.Count, item.Operator))
	}
	// The initial keepers are members without an item: removing one makes a tombstone.
	initialMember := ch.Key.Section == model.SectionMember && item.Count == 0
	if ch.Value == nil && item.Value == nil && !initialMember {
		return c.refuse(ch, "there is no such item")
	}
	if ch.Value == nil && !ValidKey(ch.Key) {
		return c.refuse(ch, "the item's name is no name")
	}
	if ch.Value != nil {
		if err := Check(ch.Key, ch.Value); err != nil {
			return c.refuse(ch, err.Error())
		}
	}
	if item.Count == 0 && len(c.items) >= MaxItems {
		return c.refuse(ch, fmt.Sprintf("there are %d items already", MaxItems))
	}
	c.version++
	next := model.Item{
		Key: ch.Key, Count: item.Count + 1, Version: c.version,
		Value: ch.Value, Operator: ch.Operator, ChangeID: ch.ID,
	}
	c.putItem(next)
	c.addToHistory(Event{Item: next, At: c.now})
	return model.ChangeResult{Accepted: true, Item: next, Version: c.version}
}

func (c *Config) refuse(ch model.Change, reason string) model.ChangeResult {
	return model.ChangeResult{Item: c.Item(ch.Key), Version: c.version, Reason: strings.ToValidUTF8(reason, "?")}
}

func (c *Config) putItem(next model.Item) {
	if old, ok := c.items[next.Key]; ok {
		Invariant(next.Count > old.Count && next.Version > old.Version, "an item's count or version went back")
		*old = next
		c.byVersion = append(c.byVersion, itemVersion{next.Version, old})
	} else {
		c.items[next.Key] = &next
		c.byVersion = append(c.byVersion, itemVersion{next.Version, &next})
	}
	if len(c.byVersion) > 2*len(c.items)+HistoryLen {
		c.byVersion = slices.DeleteFunc(c.byVersion, func(o itemVersion) bool { return o.item.Version != o.version })
	}
}

func (c *Config) addToHistory(e Event) {
	c.history = append(c.history, e)
	if len(c.history) >= 2*HistoryLen {
		c.history = slices.Clone(c.history[len(c.history)-HistoryLen:])
	}
}

// expireAnswers drops the answers past ChangeRetention.
func (c *Config) expireAnswers() {
	n := 0
	for ; n < len(c.answers) && c.answers[n].At+ChangeRetention <= c.now; n++ {
		delete(c.byID, c.answers[n].ID)
		c.answers[n] = answer{}
	}
	c.answers = c.answers[n:]
}

const configFormat = 1

type configSnapshot struct {
	Format  int           `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Now     time.Duration `cbor:"3,keyasint"`
	Items   []model.Item  `cbor:"4,keyasint"`
	Answers []answer      `cbor:"5,keyasint"`
	History []Event       `cbor:"6,keyasint"`
}

// Snapshot implements Machine.
func (c *Config) Snapshot() []byte {
	b, err := wire.MarshalValue(configSnapshot{
		Format: configFormat, Version: c.version, Now: c.now,
		Items: c.Since(0).Items, Answers: append([]answer(nil), c.answers...),
		History: append([]Event(nil), c.history[max(0, len(c.history)-HistoryLen):]...),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Restore implements Machine.
func (c *Config) Restore(b []byte) error {
	var s configSnapshot
	if err := wire.UnmarshalValue(b, &s); err != nil {
		return trace.Wrap(err)
	}
	if s.Format != configFormat {
		return trace.BadParameter("configuration snapshot of format %d, %d is known", s.Format, configFormat)
	}
	n := NewConfig()
	for _, i := range s.Items {
		if i.Version <= n.version || i.Version > s.Version || i.Count == 0 || n.items[i.Key] != nil {
			return trace.BadParameter("configuration snapshot: item %s %q does not fit", i.Key.Section, i.Key.Name)
		}
		n.version = i.Version
		n.putItem(i)
	}
	for _, a := range s.Answers {
		n.byID[a.ID] = a.Result
	}
	n.version, n.now, n.answers, n.history = s.Version, s.Now, s.Answers, s.History
	*c = *n
	return nil
}

package main

import (
	"encoding/json"
	"io"
	"net/url"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/model"
)

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	ChangeID string  `long:"change-id" value-name:"UUID" description:"resend the change with this ID; a new ID by default"`
	Expect   *uint64 `long:"expect" value-name:"COUNT" description:"the count that the item must still have; by default the count read just before"`
}

// nameArgs is the positional argument of commands that take the name of an item,
// node or person.
type nameArgs struct {
	Name string `positional-arg-name:"NAME"`
}

// changeID returns the change ID, a new one by default. It prints the ID before the
// change is sent, so that the operator can resend the change.
func (f changeFlags) changeID(a *app) (string, error) {
	if f.ChangeID == "" {
		f.ChangeID = uuid.NewString()
	} else if _, err := uuid.Parse(f.ChangeID); err != nil {
		return "", trace.BadParameter("--change-id: %v", err)
	}
	f.ChangeID = strings.ToLower(f.ChangeID)
	a.printNote("change ID %s", f.ChangeID)
	return f.ChangeID, nil
}

// expectedCount returns the count that the item must still have for the change to be
// accepted: --expect, or else the item's current count.
func (f changeFlags) expectedCount(a *app, s model.Section, name string) (uint64, error) {
	if f.Expect != nil {
		return *f.Expect, nil
	}
	var c admin.ConfigAnswer
	err := a.get("/v1/config", url.Values{"section": {string(s)}, "name": {name}}, &c)
	if err != nil || len(c.Items) == 0 {
		return 0, trace.Wrap(err)
	}
	return c.Items[0].Count, nil
}

// sendChange sets the item to the value, or deletes it when the value is nil.
func (a *app) sendChange(f changeFlags, s model.Section, name string, value any) error {
	r := admin.ChangeRequest{Section: s, Name: name}
	var err error
	if r.ID, err = f.changeID(a); err != nil {
		return err
	}
	if value != nil {
		if r.Value, err = json.Marshal(value); err != nil {
			return trace.Wrap(err)
		}
	}
	if r.Expected, err = f.expectedCount(a, s, name); err != nil {
		return err
	}
	c, ctx, cancel, err := a.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := c.Change(ctx, r)
	if s == model.SectionEvacuation && err == nil && !answer.Accepted && (len(answer.Item.Value) > 0) == (value != nil) {
		return a.printUnchanged(answer.Item) // another operator was faster
	}
	return a.printChange(answer, r.Expected, err)
}

// printChange prints the answer to a change. A conflict is an error that names the
// change that took effect instead.
func (a *app) printChange(c admin.ChangeAnswer, expected uint64, err error) error {
	if err != nil {
		return trace.Wrap(err)
	}
	err = a.print(c, func(w io.Writer) {
		if c.Accepted {
			row(w, "accepted", c.Item.Section, c.Item.Name, "count", c.Item.Count, "version", c.Version)
		}
	})
	if err != nil || c.Accepted {
		return err
	}
	i := c.Item
	if i.Count == expected {
		return trace.LimitExceeded("refused: %s", c.Reason)
	}
	return trace.CompareFailed("conflict: %s %s is at count %d, not %d; the last change is %s by %s: %s",
		i.Section, i.Name, i.Count, expected, i.ChangeID, i.Operator, formatValue(i.Value))
}

func formatValue(v json.RawMessage) string {
	if len(v) == 0 {
		return "deleted"
	}
	return string(v)
}

// listItems is the list command of a configuration section.
type listItems struct {
	a       *app
	section model.Section
}

// Execute implements flags.Commander.
func (c *listItems) Execute([]string) error {
	var answer admin.ConfigAnswer
	if err := c.a.get("/v1/config", url.Values{"section": {string(c.section)}}, &answer); err != nil {
		return err
	}
	return c.a.print(answer, func(w io.Writer) { itemTable(w, answer.Items) })
}

func itemTable(w io.Writer, items []admin.Item) {
	row(w, "NAME", "COUNT", "VERSION", "BY", "VALUE")
	for _, i := range items {
		row(w, i.Name, i.Count, i.Version, i.Operator, formatValue(i.Value))
	}
}

// deleteItem is the delete command of a configuration section.
type deleteItem struct {
	Change changeFlags
	Args   nameArgs `positional-args:"yes" required:"yes"`

	a       *app
	section model.Section
}

// Execute implements flags.Commander.
func (c *deleteItem) Execute([]string) error {
	return c.a.sendChange(c.Change, c.section, c.Args.Name, nil)
}

// registerSection adds the list and delete commands of a configuration section.
func registerSection(group, noun string, s model.Section) {
	register(group+" list", "List the "+group, "Lists the "+group+" with their counts. Example: relctl "+group+" list --json",
		func(a *app) any { return &listItems{a: a, section: s} })
	register(group+" delete", "Delete a "+noun, "Deletes a "+noun+". Example: relctl "+group+" delete NAME --expect 3",
		func(a *app) any { return &deleteItem{a: a, section: s} })
}

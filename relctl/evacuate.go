package main

import (
	"io"
	"net/url"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/model"
)

func init() {
	register("evacuate", "Start or end the evacuation of a data centre", "No task starts in an evacuated data centre; work in progress goes on, "+
		"and waiting work is placed elsewhere. Example: relctl evacuate almaty-1; relctl evacuate --end almaty-1",
		func(a *app) any { return &evacuate{a: a} })
}

type evacuate struct {
	End    bool        `long:"end" description:"end the evacuation"`
	Change changeFlags `group:"Change options"`
	Args   struct {
		DataCentre string `positional-arg-name:"DATACENTRE"`
	} `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander. An order that is already carried out succeeds and
// changes nothing, unless a change ID or count is given.
func (c *evacuate) Execute([]string) error {
	var value any
	if !c.End {
		value = struct{}{}
	}
	if c.Change.ChangeID == "" && c.Change.Expect == nil {
		var now admin.ConfigAnswer
		query := url.Values{"section": {string(model.SectionEvacuation)}, "name": {c.Args.DataCentre}}
		if err := c.a.get("/v1/config", query, &now); err != nil {
			return err
		}
		if len(now.Items) == 1 && (len(now.Items[0].Value) > 0) != c.End {
			return c.a.printUnchanged(now.Items[0])
		}
		if len(now.Items) == 1 {
			c.Change.Expect = &now.Items[0].Count
		}
	}
	return c.a.sendChange(c.Change, model.SectionEvacuation, c.Args.DataCentre, value)
}

// printUnchanged prints the state of an evacuation that an order leaves as it is.
func (a *app) printUnchanged(i admin.Item) error {
	return a.print(i, func(w io.Writer) {
		if len(i.Value) > 0 {
			row(w, "already evacuated", i.Name, "since version", i.Version, "by", i.Operator)
			return
		}
		row(w, "not evacuated", i.Name)
	})
}

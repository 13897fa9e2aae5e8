package main

import (
	"io"
	"net/url"
	"strconv"

	"cyclamenrelay.example/admin"
)

func init() {
	register("config history", "Show the newest changes", "Shows the newest accepted changes, the newest first. Example: relctl config history --limit 20",
		func(a *app) any { return &configHistory{a: a} })
}

type configHistory struct {
	Limit int `long:"limit" value-name:"N" default:"50" description:"the maximum number of changes to show"`

	a *app
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	var answer admin.ConfigAnswer
	if err := c.a.get("/v1/config/history", url.Values{"limit": {strconv.Itoa(c.Limit)}}, &answer); err != nil {
		return err
	}
	return c.a.print(answer, func(w io.Writer) {
		row(w, "VERSION", "SECTION", "NAME", "COUNT", "BY", "CHANGE ID", "VALUE")
		for _, i := range answer.Items {
			row(w, i.Version, i.Section, i.Name, i.Count, i.Operator, i.ChangeID, formatValue(i.Value))
		}
	})
}

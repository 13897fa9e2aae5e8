package main

import (
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/model"
)

func init() {
	register("targets list", "List targets", "Lists the targets that a selector matches, all by default. Example: "+
		"relctl targets list 'rack=r2' --state probation", func(a *app) any { return &listTargets{a: a} })
	register("select", "Test selectors without changing anything", "Shows which targets and which queued work the selectors match now. "+
		"The queued work is that of the entry that answers. Example: relctl select --targets 'rack in (r1,r2)' --work 'kind=tag'",
		func(a *app) any { return &testSelectors{a: a} })
}

type listTargets struct {
	State string `long:"state" value-name:"STATE" choice:"up" choice:"draining" choice:"probation" choice:"lost" description:"only targets in this state"`
	Limit int    `long:"limit" value-name:"N" default:"1000" description:"the maximum number of targets to show"`
	Args  struct {
		Selector string `positional-arg-name:"SELECTOR"`
	} `positional-args:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *listTargets) Execute([]string) error {
	var answer admin.TargetsAnswer
	q := url.Values{"selector": {c.Args.Selector}, "limit": {strconv.Itoa(c.Limit)}}
	if c.State != "" {
		q.Set("state", c.State)
	}
	if err := c.a.get("/v1/targets", q, &answer); err != nil {
		return err
	}
	return c.a.print(answer, func(w io.Writer) { targetTable(w, answer) })
}

func targetTable(w io.Writer, t admin.TargetsAnswer) {
	row(w, "TARGET", "DATA CENTRE", "STATE", "FREE", "SLOTS", "LABELS", "REASON")
	for _, t := range t.Targets {
		row(w, t.Name, t.DataCentre, t.State, t.Free, t.Slots, formatLabels(t.Labels), t.Reason)
	}
	row(w, strconv.Itoa(t.Matched)+" of "+strconv.Itoa(t.Known)+" targets, "+strconv.Itoa(len(t.Targets))+" shown")
}

func formatLabels(l model.Labels) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(l)) {
		out = append(out, k+"="+l[k])
	}
	return strings.Join(out, ",")
}

type testSelectors struct {
	Targets string `long:"targets" value-name:"SELECTOR" description:"the targets, all by default"`
	Work    string `long:"work" value-name:"SELECTOR" description:"the queued work, all by default"`

	a *app
}

// Execute implements flags.Commander.
func (c *testSelectors) Execute([]string) error {
	var answer admin.SelectAnswer
	if err := c.a.get("/v1/select", url.Values{"targets": {c.Targets}, "work": {c.Work}}, &answer); err != nil {
		return err
	}
	return c.a.print(answer, func(w io.Writer) {
		targetTable(w, answer.TargetsAnswer)
		row(w)
		row(w, "QUEUED", "URGENCY", "OLDEST", "LABELS", "SELECTOR")
		for _, q := range answer.Queued {
			row(w, q.Tasks, q.Urgency, q.Oldest, formatLabels(q.Labels), q.Selector)
		}
		row(w, strconv.Itoa(answer.MatchedTasks)+" queued tasks")
	})
}

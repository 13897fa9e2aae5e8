package main

import "cyclamenrelay.example/model"

func init() {
	registerSection("rules", "rule", model.SectionRule)
	register("rules set", "Set a rule", "Replaces the whole rule; flags that are left out have their defaults. Example: "+
		"relctl rules set tags --work 'kind=tag' --targets 'executor=gloves,!urgentOnly' --weight 2 --queue-bound 500",
		func(a *app) any { return &setRule{a: a} })
}

type setRule struct {
	Work        string      `long:"work" value-name:"SELECTOR" description:"the tasks of the rule, all by default"`
	Targets     string      `long:"targets" value-name:"SELECTOR" description:"the targets that may take them, all by default"`
	Order       int         `long:"order" value-name:"N" description:"precedence among rules that match the same work: the lowest wins"`
	Weight      int         `long:"weight" value-name:"N" default:"1" description:"the weight of the rule's share against other rules"`
	Urgency     *int        `long:"urgency" value-name:"0-9" description:"overrides the callers' urgency"`
	QueueBound  int         `long:"queue-bound" value-name:"TASKS" description:"the maximum number of queued tasks at each entry, 0 for the default"`
	RetryBudget float64     `long:"retry-budget" value-name:"SHARE" description:"the maximum ratio of retries and hedges to starts"`
	Hedge       float64     `long:"hedge" value-name:"QUANTILE" description:"the run time quantile after which idempotent work is hedged, 0 for never"`
	Change      changeFlags `group:"Change options"`
	Args        nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *setRule) Execute([]string) error {
	return c.a.sendChange(c.Change, model.SectionRule, c.Args.Name, model.Rule{
		Work: c.Work, Targets: c.Targets, Order: c.Order, Weight: c.Weight, Urgency: c.Urgency,
		QueueBound: c.QueueBound, RetryBudget: c.RetryBudget, Hedge: c.Hedge,
	})
}

package main

import "cyclamenrelay.example/model"

func init() {
	registerSection("rules", "rule", model.SectionRule)
	register("rules set", "Set a rule", "Sets the whole rule; what is left out has its default. Example: "+
		"relctl rules set tags --work 'kind=tag' --targets 'executor=gloves,!urgentOnly' --weight 2 --queue-bound 500",
		func(a *app) any { return &setRule{a: a} })
}

type setRule struct {
	Work        string      `long:"work" value-name:"SELECTOR" description:"the tasks of the rule, all by default"`
	Targets     string      `long:"targets" value-name:"SELECTOR" description:"the targets that may take them, all by default"`
	Order       int         `long:"order" value-name:"N" description:"decides between rules for the same work: the lowest wins"`
	Weight      int         `long:"weight" value-name:"N" default:"1" description:"the share against other rules"`
	Urgency     *int        `long:"urgency" value-name:"0-9" description:"replaces the callers' urgency"`
	QueueBound  int         `long:"queue-bound" value-name:"TASKS" description:"the most queued tasks at each entry, 0 for the default"`
	RetryBudget float64     `long:"retry-budget" value-name:"SHARE" description:"retries and hedges per start"`
	Hedge       float64     `long:"hedge" value-name:"QUANTILE" description:"the quantile of run time after which idempotent work is hedged, 0 for never"`
	Change      changeFlags `group:"Change options"`
	Args        nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *setRule) Execute([]string) error {
	return c.a.change(c.Change, model.SectionRule, c.Args.Name, model.Rule{
		Work: c.Work, Targets: c.Targets, Order: c.Order, Weight: c.Weight, Urgency: c.Urgency,
		QueueBound: c.QueueBound, RetryBudget: c.RetryBudget, Hedge: c.Hedge,
	})
}

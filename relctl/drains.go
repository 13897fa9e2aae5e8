package main

import "cyclamenrelay.example/model"

func init() {
	registerSection("drains", "drain", model.SectionDrain)
	register("drains set", "Drain targets by selector", "The selected targets take no new work; work in progress goes on. "+
		"Example: relctl drains set rack2 --targets rack=r2 --reason 'new switch'",
		func(a *app) any { return &setDrain{a: a} })
}

type setDrain struct {
	Targets string      `long:"targets" value-name:"SELECTOR" required:"yes" description:"the targets; an empty one drains all"`
	Reason  string      `long:"reason" value-name:"TEXT" description:"why, for people"`
	Change  changeFlags `group:"Change options"`
	Args    nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *setDrain) Execute([]string) error {
	return c.a.sendChange(c.Change, model.SectionDrain, c.Args.Name, model.Drain{Targets: c.Targets, Reason: c.Reason})
}

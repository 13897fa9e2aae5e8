package main

import "cyclamenrelay.example/model"

func init() {
	registerSection("labels", "overlay", model.SectionOverlay)
	register("labels set", "Set a label overlay", "Sets and removes labels on the targets that a selector matches. Example: "+
		"relctl labels set night --targets 'rack in (r1,r2)' --set shift=night --remove spare",
		func(a *app) any { return &setLabels{a: a} })
}

type setLabels struct {
	Targets string            `long:"targets" value-name:"SELECTOR" description:"the targets, all by default"`
	Set     map[string]string `long:"set" key-value-delimiter:"=" value-name:"NAME=VALUE" description:"a label to set; repeat it for more"`
	Remove  []string          `long:"remove" value-name:"NAME" description:"a label to remove; repeat it for more"`
	Change  changeFlags       `group:"Change options"`
	Args    nameArgs          `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *setLabels) Execute([]string) error {
	o := model.Overlay{Targets: c.Targets, Set: c.Set, Remove: c.Remove}
	return c.a.sendChange(c.Change, model.SectionOverlay, c.Args.Name, o)
}

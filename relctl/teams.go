package main

import "cyclamenrelay.example/model"

func init() {
	registerSection("teams", "team", model.SectionTeam)
	register("teams set", "Set a team's quota and weight", "Example: relctl teams set rinks --quota 40 --weight 2",
		func(a *app) any { return &setTeam{a: a} })
}

type setTeam struct {
	Quota  int         `long:"quota" value-name:"SLOTS" description:"the maximum number of slots in use at once over all targets, 0 for no limit"`
	Weight int         `long:"weight" value-name:"N" default:"1" description:"the weight of the team's share within a rule"`
	Change changeFlags `group:"Change options"`
	Args   nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *setTeam) Execute([]string) error {
	return c.a.sendChange(c.Change, model.SectionTeam, c.Args.Name, model.Team{Quota: c.Quota, Weight: c.Weight})
}

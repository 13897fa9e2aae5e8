package main

import (
	"io"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/model"
)

func init() {
	register("members list", "List the keepers", "Lists the keepers of the cluster. Example: relctl members list",
		func(a *app) any { return &listMembers{a: a} })
	register("members add", "Add a keeper", "Adds a keeper: it starts as a non-voting learner and votes once it has caught up. "+
		"Example: relctl members add k4 --address 10.1.0.9:7400 --data-centre almaty-1",
		func(a *app) any { return &addMember{a: a} })
	register("members replace", "Replace a lost keeper", "Adds a keeper under a new name and removes the lost one once the new one votes. "+
		"Example: relctl members replace k2 k5 --address 10.2.0.9:7400 --data-centre almaty-2",
		func(a *app) any { return &replaceMember{a: a} })
	register("members remove", "Remove a keeper", "Removes a keeper for good. Example: relctl members remove k4",
		func(a *app) any { return &removeMember{a: a} })
}

type listMembers struct{ a *app }

// Execute implements flags.Commander.
func (c *listMembers) Execute([]string) error {
	var ms []admin.MemberStatus
	if err := c.a.get("/v1/members", nil, &ms); err != nil {
		return err
	}
	return c.a.print(ms, func(w io.Writer) {
		row(w, "NAME", "DATA CENTRE", "ADDRESS", "VOTER", "UP", "LEADS", "BEHIND", "COUNT")
		for _, m := range ms {
			row(w, m.Name, m.DataCentre, m.Address, m.Voter, m.Up, m.Leads, m.MissingEntries, m.Count)
		}
	})
}

// sendMemberChange sends a membership change and prints the answer.
func (a *app) sendMemberChange(f changeFlags, m admin.MemberChange) error {
	var err error
	if m.ID, err = f.changeID(a); err != nil {
		return err
	}
	if m.Expected, err = f.expectedCount(a, model.SectionMember, m.Name); err != nil {
		return err
	}
	c, ctx, cancel, err := a.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := c.ChangeMember(ctx, m)
	return a.printChange(answer, m.Expected, err)
}

type memberFlags struct {
	Address    string `long:"address" value-name:"IP:PORT" required:"yes" description:"the link address of the new keeper"`
	DataCentre string `long:"data-centre" value-name:"NAME" required:"yes" description:"its data centre"`
}

type addMember struct {
	Member memberFlags `group:"Member options"`
	Change changeFlags `group:"Change options"`
	Args   nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *addMember) Execute([]string) error {
	return c.a.sendMemberChange(c.Change, admin.MemberChange{
		Action: admin.MemberAdd, Name: c.Args.Name, Address: c.Member.Address, DataCentre: c.Member.DataCentre,
	})
}

type replaceMember struct {
	Member memberFlags `group:"Member options"`
	Change changeFlags `group:"Change options"`
	Args   struct {
		Lost string `positional-arg-name:"LOST"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *replaceMember) Execute([]string) error {
	return c.a.sendMemberChange(c.Change, admin.MemberChange{
		Action: admin.MemberReplace, Name: c.Args.Name, Replaces: c.Args.Lost,
		Address: c.Member.Address, DataCentre: c.Member.DataCentre,
	})
}

type removeMember struct {
	Change changeFlags `group:"Change options"`
	Args   nameArgs    `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *removeMember) Execute([]string) error {
	return c.a.sendMemberChange(c.Change, admin.MemberChange{Action: admin.MemberRemove, Name: c.Args.Name})
}

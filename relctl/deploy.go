package main

import (
	"github.com/gravitational/trace"

	"cyclamenrelay.example/layout"
)

func init() {
	register("deploy", "Make the settings of a deployment on one host", "Reads "+layout.SpecFile+" in the folder and writes "+
		"beside it a settings file for each process, and "+layout.TargetsFile+" with the targets to run beside the agents. "+
		"Example: relctl deploy deploy/tengri, then relctl keys deployment deploy/tengri",
		func(a *app) any { return &deploy{a: a} })
}

type deploy struct {
	Args struct {
		Folder string `positional-arg-name:"FOLDER"`
	} `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *deploy) Execute([]string) error {
	n, err := layout.WriteFiles(c.Args.Folder)
	if err != nil {
		return trace.Wrap(err)
	}
	c.a.printNote("%d files written in %s", n, c.Args.Folder)
	return nil
}

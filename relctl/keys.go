package main

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/layout"
)

const (
	day  = 24 * time.Hour
	year = 365 * day
)

func init() {
	register("keys ca", "Make the deployment's CA", "Writes ca.pem and ca.key and refuses to overwrite them. Keep ca.key off the hosts. "+
		"Example: relctl keys ca tengri --folder tls", func(a *app) any { return &makeCA{a: a} })
	register("keys node", "Make a node's certificate", "Writes NAME.pem and NAME.key. Example: relctl keys node k1 --role keeper",
		func(a *app) any { return &makeNode{a: a} })
	register("keys operator", "Make an operator's certificate", "Writes NAME.pem and NAME.key. Example: relctl keys operator aigerim --days 30",
		func(a *app) any { return &makeOperator{a: a} })
	register("keys renew", "Renew certificates", "Replaces each certificate and its key by new ones with the same name and roles. "+
		"A node rereads them on SIGHUP. Example: relctl keys renew tls/k1.pem tls/k2.pem",
		func(a *app) any { return &renewKeys{a: a} })
	register("keys deployment", "Make all certificates of a deployment's folder", "Makes the CA, a certificate for each settings file "+
		"in the folder and one for an operator. Example: relctl keys deployment deploy/tengri",
		func(a *app) any { return &makeDeployment{a: a} })
}

// caFlags give the folder of the CA's files and the validity of a new certificate.
type caFlags struct {
	Folder string `long:"folder" value-name:"FOLDER" default:"tls" description:"the folder of ca.pem, ca.key and the new files"`
	Days   int    `long:"days" value-name:"N" description:"days until the certificate expires, by default 365 and for a CA 3650"`
}

func (f caFlags) folder() keys.Folder { return keys.Folder(f.Folder) }

// validity returns --days as a duration, or defaultValidity when the flag is not given.
func (f caFlags) validity(defaultValidity time.Duration) time.Duration {
	if f.Days == 0 {
		return defaultValidity
	}
	return time.Duration(f.Days) * day
}

// issue makes a certificate and key and writes them to the folder; it does not
// replace existing files.
func (f caFlags) issue(a *app, name string, roles []keys.Role, addresses ...string) error {
	ca, err := f.folder().CA()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := f.folder().Issue(ca, name, roles, a.clock.Now(), f.validity(year), addresses...); err != nil {
		return trace.Wrap(err)
	}
	a.printNote("%s written", f.folder().Cert(name))
	return nil
}

type makeCA struct {
	CA   caFlags  `group:"CA options"`
	Args nameArgs `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *makeCA) Execute([]string) error {
	if _, err := c.CA.folder().NewCA(c.Args.Name, c.a.clock.Now(), c.CA.validity(keys.CAValidity)); err != nil {
		return trace.Wrap(err)
	}
	c.a.printNote("%s written", c.CA.folder().Cert("ca"))
	return nil
}

type makeNode struct {
	CA        caFlags  `group:"CA options"`
	Roles     []string `long:"role" value-name:"ROLE" required:"yes" choice:"entry" choice:"keeper" choice:"agent" description:"a role that the node may act in; repeat it for more"`
	Addresses []string `long:"address" value-name:"IP" description:"an IP address of the node, for clients that verify it"`
	Args      nameArgs `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *makeNode) Execute([]string) error {
	var roles []keys.Role
	for _, r := range c.Roles {
		roles = append(roles, keys.Role(r))
	}
	return c.CA.issue(c.a, c.Args.Name, roles, c.Addresses...)
}

type makeOperator struct {
	CA   caFlags  `group:"CA options"`
	Args nameArgs `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *makeOperator) Execute([]string) error {
	return c.CA.issue(c.a, c.Args.Name, []keys.Role{keys.Operator})
}

type renewKeys struct {
	CA   caFlags `group:"CA options"`
	Args struct {
		Files []string `positional-arg-name:"CERT" required:"1"`
	} `positional-args:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *renewKeys) Execute([]string) error {
	ca, err := c.CA.folder().CA()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, cert := range c.Args.Files {
		pair, err := ca.Renew(cert, c.a.clock.Now(), c.CA.validity(year))
		if err != nil {
			return trace.Wrap(err)
		}
		if err := pair.Write(cert, strings.TrimSuffix(cert, ".pem")+".key"); err != nil {
			return trace.Wrap(err)
		}
		c.a.printNote("%s renewed", cert)
	}
	return nil
}

type makeDeployment struct {
	Days     int    `long:"days" value-name:"N" default:"365" description:"days until the certificates expire"`
	Operator string `long:"operator" value-name:"NAME" default:"operator" description:"the operator's name"`
	Args     struct {
		Folder string `positional-arg-name:"FOLDER"`
	} `positional-args:"yes" required:"yes"`

	a *app
}

// Execute implements flags.Commander.
func (c *makeDeployment) Execute([]string) error {
	validity := time.Duration(c.Days) * day
	n, err := layout.IssueCertificates(c.Args.Folder, c.Operator, c.a.clock.Now(), validity)
	if err != nil {
		return trace.Wrap(err)
	}
	c.a.printNote("%d certificates written in %s/tls", n, c.Args.Folder)
	return nil
}

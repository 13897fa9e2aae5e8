// Command relctl is the operators' command line. Each file holds one group of
// commands, which register themselves.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"
)

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
}

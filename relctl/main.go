// Command relctl is the operators' command-line tool. Each file holds one group of
// commands and registers them in an init function.
package main

import (
	"os"

	"github.com/jonboulle/clockwork"
)

func main() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, clockwork.NewRealClock()))
}

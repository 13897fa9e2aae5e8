package main

import (
	"io"

	"github.com/gravitational/trace"
)

// bashCompletion is a bash script that gets the completions from relctl itself.
const bashCompletion = `_relctl() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}" 2>/dev/null))
	return 0
}
complete -F _relctl relctl
`

func init() {
	register("completion bash", "Print the completion script for bash", "Example: source <(relctl completion bash)",
		func(a *app) any { return &completion{a: a} })
}

type completion struct{ a *app }

// Execute implements flags.Commander.
func (c *completion) Execute([]string) error {
	_, err := io.WriteString(c.a.out, bashCompletion)
	return trace.ConvertSystemError(err)
}

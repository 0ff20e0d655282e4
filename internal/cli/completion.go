package cli

import (
	"fmt"

	"github.com/pkg/errors"
)

// Completion scripts for both programs. Each program prints its completions when
// GO_FLAGS_COMPLETION is set in its environment.
const (
	bashCompletion = `_chicorylug() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _chicorylug chicorylug chicorylugd
`
	zshCompletion = `autoload -U +X bashcompinit && bashcompinit
` + bashCompletion
	fishCompletion = `function __chicorylug
  set -lx GO_FLAGS_COMPLETION 1
  set -l words (commandline -opc) (commandline -ct)
  $words[1] $words[2..-1]
end
complete -c chicorylug -f -a '(__chicorylug)'
complete -c chicorylugd -a '(__chicorylug)'
`
)

type completionCommand struct {
	Args struct {
		Shell string `positional-arg-name:"bash|zsh|fish" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion, "fish": fishCompletion}
	script, ok := scripts[c.Args.Shell]
	if !ok {
		return &exitError{code: ExitBadUsage, err: errors.Errorf("found %q, want bash, zsh or fish", c.Args.Shell)}
	}
	fmt.Fprint(c.global.out, script)
	return nil
}

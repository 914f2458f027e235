// Package cli implements the command-line tool for operators: rules, keys, status, charges, drain and log analysis.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
)

// Tool defines the flags and commands of the tool.
type Tool struct {
	Hosts      []string      `help:"Operator addresses of hosts, ip:port; the next is tried when one does not answer." env:"BORAGECOURSE_HOSTS" default:"127.0.0.1:8082"`
	Credential string        `help:"Operator credential." env:"BORAGECOURSE_OPERATOR_CREDENTIAL"`
	Output     string        `help:"Output format: human or json." enum:"human,json" default:"human"`
	Timeout    time.Duration `help:"Longest time for the whole command." default:"60s"`

	Check    CheckCmd    `cmd:"" help:"Check a rules file without contacting a host. Example: boragecourse check fleet.rules"`
	Diff     DiffCmd     `cmd:"" help:"Show what a rules file would change. Example: boragecourse diff fleet.rules"`
	Apply    ApplyCmd    `cmd:"" help:"Put a rules file in force. Example: boragecourse apply fleet.rules"`
	Get      GetCmd      `cmd:"" help:"Print the installed rules file. Example: boragecourse get > fleet.rules"`
	Keys     KeysCmd     `cmd:"" help:"Issue and withdraw keys."`
	Status   StatusCmd   `cmd:"" help:"Show hosts, zones, generations and backend servers. Example: boragecourse status"`
	Charges  ChargesCmd  `cmd:"" help:"Look up charges."`
	Drain    DrainCmd    `cmd:"" help:"Drain one host: finish its requests, take no new ones. Example: boragecourse drain 10.0.0.5:8082"`
	Evacuate EvacuateCmd `cmd:"" help:"Take the backend servers of a zone out of use, or end that. Example: boragecourse evacuate piran-a --why='power works'"`
	Explain  ExplainCmd  `cmd:"" help:"Explain what happened to a request, or where one would go."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print the shell line that installs completion."`
}

// Exit codes of the tool.
const (
	ExitOK = iota
	// ExitFailure is any failure that has no exit code of its own.
	ExitFailure
	ExitUsage
	// ExitInvalidFile means that the rules file is invalid; nothing was applied.
	ExitInvalidFile
	// ExitRace means that another change was accepted first; nothing was applied.
	ExitRace
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown
	// ExitUnreachable means that no host responded.
	ExitUnreachable
	// ExitNotActive means that the change was accepted but is not yet known to be active on every host.
	ExitNotActive
)

// ExitError is a failure for which the tool exits with Code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Env is the environment in which a command runs. Context ends at the timeout of the whole command.
type Env struct {
	Context context.Context
	Tool    *Tool
	Client  *operatorapi.Client
	In      io.Reader
	Out     io.Writer
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	tool := &Tool{}
	parser, err := kong.New(tool, kong.Name("boragecourse"), kong.Writers(out, errOut),
		kong.Description("Operates a boragecourse fleet: rules, keys, status, charges, drain."))
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "boragecourse: %v\n", err)
		return ExitFailure
	}
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "boragecourse: %v\n", err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, tool.Timeout)
	defer cancel()
	env := &Env{Context: ctx, Tool: tool, Client: operatorapi.NewClient(tool.Hosts, tool.Credential), In: in, Out: out}
	if err := parsed.Run(env); err != nil {
		_, _ = fmt.Fprintf(errOut, "boragecourse: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

// print writes v as JSON when the output format is json, and otherwise calls human.
func (e *Env) print(v any, human func(io.Writer)) error {
	if e.Tool.Output == "json" {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
		return nil
	}
	human(e.Out)
	return nil
}

package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/boragecourse/boragecourse/internal/explain"
)

// ExplainCmd groups the explanations of single requests.
type ExplainCmd struct {
	// A request whose id is the name of a command cannot be looked up, so the name is one that no id has.
	Request ExplainRequestCmd `cmd:"" name:"logs-of" default:"withargs" help:"Print what the hosts' logs tell of one request. Example: boragecourse explain 9c41d07b host-*.log"`
	Route   ExplainRouteCmd   `cmd:"" help:"Show where a request would go now, and why, without sending it. Example: boragecourse explain route --host=stays.example --path=/v1/ --workspace=guests"`
}

// ExplainRequestCmd prints the events of one request from the hosts' logs.
type ExplainRequestCmd struct {
	ID    string   `arg:"" help:"Request id."`
	Files []string `arg:"" optional:"" help:"Log files of the hosts; standard input when none is named."`
}

// Run reads the log files in the given order, or standard input if there are none.
func (c *ExplainRequestCmd) Run(e *Env) error {
	logs := []io.Reader{e.In}
	if len(c.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, err := explain.RequestLines(io.MultiReader(logs...), c.ID)
	if err != nil {
		return err
	}
	return e.print(lines, func(w io.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintln(w, l.Text)
		}
	})
}

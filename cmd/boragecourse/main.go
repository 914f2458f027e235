// Command boragecourse is the command-line tool for the operators of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/boragecourse/boragecourse/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) //nolint:gocritic // The process exits, so stop need not run.
}

// Command boragecourse operates a fleet: rules, keys, status, charges and drain.
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
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) //nolint:gocritic // stop matters only to a running process.
}

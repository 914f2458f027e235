// Command boragecoursed routes callers' requests on one host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/boragecourse/boragecourse/internal/daemon"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/settings"
)

func main() {
	var s settings.Daemon
	kong.Parse(&s, kong.Name("boragecoursed"),
		kong.Description("Routes requests to backend servers. Every flag can be set in the environment."))
	if err := run(s); err != nil {
		fmt.Fprintf(os.Stderr, "boragecoursed: %v\n", err)
		os.Exit(1)
	}
}

func run(s settings.Daemon) error {
	// Room for two: the second signal ends a drain.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	d, err := daemon.New(s, logging.New(os.Stderr, s.LogVerbosity))
	if err != nil {
		return err
	}
	return d.Run(context.Background(), signals)
}

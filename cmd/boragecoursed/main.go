// Command boragecoursed routes callers' requests on one host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/boragecourse/boragecourse/internal/daemon"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/settings"
)

// gcPercent is below the runtime's default of 100: the live heap is small and mostly open streams, so that collecting
// more often keeps the memory per stream under its target of 64 KB. GOGC in the environment overrides it.
const gcPercent = 30

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
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

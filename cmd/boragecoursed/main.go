// Command boragecoursed is the daemon that runs on each host and routes callers' requests to backend servers.
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
	"github.com/boragecourse/boragecourse/platform"
)

// gcPercent is below the runtime's default of 100. The live heap is small and consists mostly of open streams, so more
// frequent collections keep the memory per stream below its target of 64 KB. GOGC in the environment overrides it.
const gcPercent = 30

type commands struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Serve a deployment that is described by a rules file."`
	Front frontCommand `cmd:"" help:"Serve on the users' platform; its settings file names the addresses."`
}

type serveCommand struct {
	settings.Daemon `embed:""`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("boragecoursed"), kong.Vars{"settings_variable": platform.SettingsVariable},
		kong.Description("Routes requests to backend servers. Every flag can be set in the environment."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "boragecoursed: %v\n", err)
		os.Exit(1)
	}
}

// Run serves until a signal or an operator has drained the daemon.
func (c *serveCommand) Run() error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	signals, stop := notify(syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(c.Daemon, logging.New(os.Stderr, c.LogVerbosity))
	if err != nil {
		return err
	}
	return d.Run(context.Background(), signals)
}

// notify returns a channel of the signals. Its buffer holds two, because the second signal aborts a drain.
func notify(sigs ...os.Signal) (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, sigs...)
	return signals, func() { signal.Stop(signals) }
}

package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/boragecourse/boragecourse/internal/front"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// memoryFraction is the fraction of the machine's memory that the Go runtime may use. The rest is left for memory
	// that the runtime does not account for, such as socket buffers.
	memoryFraction = 0.6
	// logQueueLines is the capacity of the queue of log lines to be written.
	logQueueLines = 4096
)

type frontCommand struct {
	Settings     string `help:"Settings file of the platform." type:"path" env:"${settings_variable}" required:""`
	LogVerbosity int    `help:"Log verbosity: 0 for decisions, 1 for details." default:"0" env:"BORAGECOURSE_LOG_VERBOSITY"`
}

// Run serves until a signal has started a drain and the drain has ended.
func (c *frontCommand) Run() error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryFraction * float64(settings.MemoryBytes)))
	runtime.GOMAXPROCS(1)
	out := logging.NewBuffered(os.Stdout, logQueueLines)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() { defer close(written); _ = out.Run(ctx) }()
	defer func() { cancel(); <-written }()

	signals, stop := notify(syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer stop()
	store := platform.NewStore(settings.Store)
	defer store.Close()
	// The platform joins the logs of all hosts, so each line names its host.
	log := logging.New(out, c.LogVerbosity).WithValues("host", settings.Name)
	f, err := front.New(settings, store, log, metrics.New())
	if err != nil {
		return err
	}
	f.LogLinesDropped = out.Dropped
	return f.Run(context.Background(), signals)
}

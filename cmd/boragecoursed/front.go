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
	// memoryShare is the part of the machine's memory that the Go runtime may use; the rest is for what it does not
	// count, such as bytes in sockets.
	memoryShare = 0.6
	// logLines bounds the log lines that wait to be written.
	logLines = 4096
)

type frontCommand struct {
	Settings     string `help:"Settings file of the platform." type:"path" env:"${settings_variable}" required:""`
	LogVerbosity int    `help:"Log verbosity: 0 for decisions, 1 for details." default:"0" env:"BORAGECOURSE_LOG_VERBOSITY"`
}

// Run serves until SIGTERM has been followed by a drain.
func (c *frontCommand) Run() error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	runtime.GOMAXPROCS(1)
	out := logging.NewBuffered(os.Stdout, logLines)
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() { defer close(written); _ = out.Run(ctx) }()
	defer func() { cancel(); <-written }()

	signals, stop := notify(syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer stop()
	store := platform.NewStore(settings.Store)
	defer store.Close()
	f, err := front.New(settings, store, logging.New(out, c.LogVerbosity), metrics.New())
	if err != nil {
		return err
	}
	f.LogLinesDropped = out.Dropped
	return f.Run(context.Background(), signals)
}

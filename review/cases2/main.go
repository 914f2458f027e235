package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

var cases = map[string]func(f *fleet, trouble bool) error{
	"leaving-worker": leavingWorker,
	"large-bodies":   largeBodies,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		return notRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	r := &record{out: out, begun: time.Now()}
	f, err := newFleet(ctx, r, dir)
	if err == nil {
		defer f.close()
		err = cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		f.keepLogs(os.Getenv("CASE_LOGS"))
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err == nil:
		r.line("the rule held")
		return held
	case errors.Is(err, errBroken):
		r.line("the rule was broken")
		return broken
	}
	r.line("the case could not run: %v", err)
	_, _ = fmt.Fprintln(os.Stderr, err)
	return notRun
}

// keepLogs copies the output of the daemons to a directory, if one is named.
func (f *fleet) keepLogs(to string) {
	if to == "" {
		return
	}
	entries, _ := os.ReadDir(f.dir)
	for _, e := range entries {
		in, err := os.Open(f.dir + "/" + e.Name())
		if err != nil {
			continue
		}
		if out, err := os.Create(to + "/" + e.Name()); err == nil {
			_, _ = io.Copy(out, in)
			_ = out.Close()
		}
		_ = in.Close()
	}
}

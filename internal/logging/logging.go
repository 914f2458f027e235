// Package logging implements a logr sink that writes each event as one line of key=value pairs.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w. Lines with a verbosity above the given one are dropped. Each call of w.Write
// receives exactly one complete line; calls do not overlap.
func New(w io.Writer, verbosity int) logr.Logger {
	return logr.New(&sink{out: &lockedWriter{w: w}, verbosity: verbosity})
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

type sink struct {
	out       *lockedWriter
	verbosity int
	name      string
	values    []any
}

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return level <= s.verbosity }

// Info implements logr.LogSink.
func (s *sink) Info(level int, msg string, kv ...any) {
	s.write("info", level, msg, nil, kv)
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, msg string, kv ...any) {
	s.write("error", 0, msg, err, kv)
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(kv ...any) logr.LogSink {
	c := *s
	c.values = append(append([]any{}, s.values...), kv...)
	return &c
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	c := *s
	if s.name != "" {
		name = s.name + "." + name
	}
	c.name = name
	return &c
}

func (s *sink) write(severity string, level int, msg string, err error, kv []any) {
	var b strings.Builder
	pair(&b, "time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	pair(&b, "severity", severity)
	if level > 0 {
		pair(&b, "v", strconv.Itoa(level))
	}
	if s.name != "" {
		pair(&b, "logger", s.name)
	}
	pair(&b, "event", msg)
	if err != nil {
		pair(&b, "error", err.Error())
	}
	pairs(&b, s.values)
	pairs(&b, kv)
	b.WriteByte('\n')
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	_, _ = io.WriteString(s.out.w, b.String())
}

func pairs(b *strings.Builder, kv []any) {
	for i := 0; i < len(kv); i += 2 {
		value := any("(missing)")
		if i+1 < len(kv) {
			value = kv[i+1]
		}
		pair(b, fmt.Sprint(kv[i]), fmt.Sprint(value))
	}
}

func pair(b *strings.Builder, key, value string) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(key)
	b.WriteByte('=')
	if value == "" || strings.ContainsAny(value, " \t\r\n\"=") {
		value = strconv.Quote(value)
	}
	b.WriteString(value)
}

package events

import (
	"sort"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/go-logr/logr"
)

// Verbosity levels of watermill's log. Watermill writes an info line for each event without a subscriber. Such events
// are normal here, so info lines are hidden by default.
const (
	infoLevel  = 2
	debugLevel = 3
	traceLevel = 4
)

// logger is an adapter from watermill's logger interface to logr.
type logger struct{ log logr.Logger }

// NewLogger returns a watermill logger that writes to log. Errors are always written, the other levels at verbosity 2
// and above.
func NewLogger(log logr.Logger) watermill.LoggerAdapter { return logger{log} }

// Error implements watermill.LoggerAdapter.
func (l logger) Error(msg string, err error, fields watermill.LogFields) {
	l.log.Error(err, msg, pairs(fields)...)
}

// Info implements watermill.LoggerAdapter.
func (l logger) Info(msg string, fields watermill.LogFields) {
	l.log.V(infoLevel).Info(msg, pairs(fields)...)
}

// Debug implements watermill.LoggerAdapter.
func (l logger) Debug(msg string, fields watermill.LogFields) {
	l.log.V(debugLevel).Info(msg, pairs(fields)...)
}

// Trace implements watermill.LoggerAdapter.
func (l logger) Trace(msg string, fields watermill.LogFields) {
	l.log.V(traceLevel).Info(msg, pairs(fields)...)
}

// With implements watermill.LoggerAdapter.
func (l logger) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logger{l.log.WithValues(pairs(fields)...)}
}

// pairs returns the fields as alternating keys and values, sorted by key.
func pairs(fields watermill.LogFields) []any {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	kv := make([]any, 0, 2*len(keys))
	for _, k := range keys {
		kv = append(kv, k, fields[k])
	}
	return kv
}

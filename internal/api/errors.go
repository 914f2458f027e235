package api

import (
	"errors"
	"fmt"
)

// errRequestTime is the cancelation cause of requests that exceed Options.StreamTimeout.
var errRequestTime = errors.New("request exceeded the stream timeout")

// PanicError is the recovered value of a panic in a request handler, for logging.
type PanicError struct {
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

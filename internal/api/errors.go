package api

import (
	"errors"
	"fmt"
)

// errRequestTime is the cause of a request that exceeded the stream timeout.
var errRequestTime = errors.New("time limit of one request has passed")

// PanicError is a panic in a handler.
type PanicError struct {
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

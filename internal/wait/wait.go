// Package wait provides a sleep that ends with its context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns the cause of the context when the context ends first.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

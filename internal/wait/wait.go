// Package wait provides a sleep that ends early when its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d. If ctx ends first, it returns context.Cause(ctx).
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

// Package wait has waits that end with their context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns the context's cause when that ends first.
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

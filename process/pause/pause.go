// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For returns true after the duration, or false as soon as ctx ends.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

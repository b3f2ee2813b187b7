// Package pause provides cancellable sleeps and coalescing wake-up signals.
package pause

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true, or returns false as soon as ctx ends. If the
// duration is not positive and ctx has already ended, either may be returned.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Signal sends on a channel with a buffer of one without blocking. It does nothing if the previous
// signal has not been received yet.
func Signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

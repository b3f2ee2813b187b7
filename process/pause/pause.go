// Package pause waits for a time that a context may cut short, and tells who waits that there is news.
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

// Signal fills the channel's one place and never blocks: signals coalesce until they are taken.
func Signal(place chan<- struct{}) {
	select {
	case place <- struct{}{}:
	default:
	}
}

package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/lab/backlog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// lateContext ends some time after its deadline, as a context does whose timer fires
// late.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Do must not fail before ctx ends. A dialer that sets the context's deadline on the socket
// fails shortly before, and a caller that finds the context still active then marks the
// replica as suspect. Here such a dialer fails at the deadline, 90 ms before the context
// ends.
func TestDialFailsNoEarlierThanContextEnds(t *testing.T) {
	hanging, err := backlog.NewFull()
	must.NoError(t, err)
	defer hanging.Close()
	pool := newPool(t)
	running, cancel := context.WithCancel(t.Context())
	defer time.AfterFunc(100*time.Millisecond, cancel).Stop()
	ctx := lateContext{Context: running, deadline: time.Now().Add(10 * time.Millisecond)}
	_, err = pool.Do(ctx, hanging.Address(), newGet("/"))
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Connecting)
	must.Error(t, ctx.Err())
}

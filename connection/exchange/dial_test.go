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

// When a request timed out while connecting, the replica was marked as suspect: the dialer
// set the context's deadline on the socket and failed shortly before the context ended, so
// the caller found the context still active and blamed the replica. With that fault, Do
// fails here at the deadline, while the context is still active.
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

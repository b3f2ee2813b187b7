package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/lab/backlog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// lateContext says that it has ended some time after its deadline, as one may whose timer
// fires late.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// A request's time ran out while a connection to a replica was opened, and the replica
// was made suspect for it: the dial sets the context's deadline on its socket, which ended
// it a moment before the context, and who asked the context found it running. On the code
// before, this test gets its failure at the deadline.
func TestDialEndsNoEarlierThanItsContext(t *testing.T) {
	hanging, err := backlog.NewFull()
	must.NoError(t, err)
	defer hanging.Close()
	pool := newPool(t)
	running, cancel := context.WithCancel(t.Context())
	defer time.AfterFunc(100*time.Millisecond, cancel).Stop()
	ctx := lateContext{Context: running, deadline: time.Now().Add(10 * time.Millisecond)}
	_, err = pool.Do(ctx, hanging.Address(), get("/"))
	var failure *Failure
	must.True(t, errors.As(err, &failure))
	must.True(t, failure.Connecting)
	must.Error(t, ctx.Err())
}

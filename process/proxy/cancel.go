package proxy

import (
	"context"
	"io"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
)

// cancelUnfinishedRuns asks engines to cancel the attempts that may still be
// running and whose response is no longer needed.
func (c *modelCall) cancelUnfinishedRuns() {
	completed := c.attempts.Done()
	records := c.attempts.Attempts()
	for i := range records {
		record := &records[i] // Wrote means that a byte of the request may have reached the engine
		last := i == len(records)-1
		if !record.MayHaveWritten || record.Refused || (last && completed) {
			continue
		}
		target := (*c.lane.endpoints.Load())[record.Endpoint]
		if target == nil {
			continue
		}
		request := engineapi.CancelRequest{RequestID: c.id, Attempt: record.Number}
		c.proxy.tasks.Go(func() { c.proxy.sendCancel(c.lane, target, request) })
	}
}

// sendCancel asks an engine to cancel a run. It is best effort: without a cancellation the engine
// ends the run once nobody reads its stream.
func (p *Proxy) sendCancel(l *lane, target *endpoint, body engineapi.CancelRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.Timeouts.Cancel)
	defer cancel()
	request, err := newJSONPost(ctx, target.address, engineapi.PathCancel, body)
	if err != nil {
		return
	}
	// Runs use another pool of connections, so a response to the run cannot be taken for the
	// response to this request although both have the same identity.
	response, err := l.pollPool.Do(request, upstream.Identity{RequestID: body.RequestID, Attempt: body.Attempt})
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes)) // allows the connection to be reused
	_ = response.Body.Close()
}

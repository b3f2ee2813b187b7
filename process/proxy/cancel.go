package proxy

import (
	"context"
	"io"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
)

// cancelLeftovers tells the engines of attempts that may still run that nobody
// waits for them.
func (c *call) cancelLeftovers() {
	whole := c.life.Done()
	records := c.life.Attempts()
	for i := range records {
		record := &records[i]
		last := i == len(records)-1
		if !record.Wrote || record.Refused || (last && whole) {
			continue
		}
		target := (*c.lane.endpoints.Load())[record.Endpoint]
		if target == nil {
			continue
		}
		request := engineapi.CancelRequest{RequestID: c.id, Attempt: record.Number}
		c.proxy.tasks.Go(func() { c.proxy.cancelRun(c.lane, target, request) })
	}
}

// cancelRun is a hint: an engine that does not get it ends the run by itself
// once nobody reads it.
func (p *Proxy) cancelRun(l *lane, target *endpoint, body engineapi.CancelRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), p.config.Timeouts.Cancel)
	defer cancel()
	request, err := postJSON(ctx, target.address, engineapi.PathCancel, body)
	if err != nil {
		return
	}
	// Runs go over other connections, so that their identity can serve here too.
	response, err := l.polls.Do(request, upstream.Identity{RequestID: body.RequestID, Attempt: body.Attempt})
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes)) // so that the connection can be reused
	_ = response.Body.Close()
}

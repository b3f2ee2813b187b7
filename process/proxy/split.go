package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/request/router"
)

// errKVTransfer is returned if the KV cache could not be transferred.
var errKVTransfer = errors.New("KV cache transfer failed")

// prefillAttempt is the attempt number of the prefill, which is separate from the
// attempts of the request. The prefill generates no response, so it does not
// count as a run of the request: if the transfer fails, the request has certainly
// not run.
const prefillAttempt = 1

// prefill performs disaggregated prefill: it runs the prefill on the prefill engine and transfers its
// KV cache to the target. It returns the decision to run by and the handle of the cache, "" if one
// engine does both phases. The cache is sent directly between the engines, not through the proxy.
// After a failure or refusal it excludes the engine and routes again; the router returns a decision
// without a prefill engine if no pair is left and one engine must do both phases.
func (c *modelCall) prefill(ctx context.Context, decision router.Decision) (router.Decision, string, *failure) {
	for decision.Prefill != nil {
		handle, failedEngine := c.transferKV(ctx, decision)
		if failedEngine == "" {
			return decision, handle, nil
		}
		c.proxy.metrics.splitFailures.Inc()
		if failed := c.interruptedFailure(ctx); failed != nil {
			failed.final = true
			return decision, "", failed
		}
		if failed := c.refuseQuarantined(); failed != nil {
			return decision, "", failed
		}
		c.excluded[failedEngine] = true
		next, failed := c.route()
		if failed != nil {
			return next, "", failed
		}
		decision = next
	}
	return decision, "", nil
}

// transferKV exports the KV cache of the prompt from the prefill engine and
// imports it into the target. It returns the handle of the cache on the target,
// or the name of the engine that failed.
func (c *modelCall) transferKV(ctx context.Context, decision router.Decision) (handle, failedEngine string) {
	endpoints := *c.lane.endpoints.Load()
	source, target := endpoints[decision.Prefill.Name], endpoints[decision.Target.Name]
	if source == nil {
		return "", decision.Prefill.Name
	}
	if target == nil {
		return "", decision.Target.Name
	}
	ctx, cancel := context.WithTimeout(ctx, c.proxy.config.Timeouts.FirstToken)
	defer cancel()
	end := source.trackRequest(c.proxy.clock(), c.parsed.promptTokens)
	export := engineapi.KVExportRequest{RequestID: c.id, Attempt: prefillAttempt, Request: c.parsed.request}
	exported, err := c.callKV(ctx, source, engineapi.PathKVExport, decision.Prefill.Incarnation, export)
	end()
	if err != nil {
		return "", source.name
	}
	end = target.trackRequest(c.proxy.clock(), 0)
	defer end()
	imported, err := c.callKV(ctx, target, engineapi.PathKVImport, decision.Target.Incarnation, engineapi.KVImportRequest{Handle: exported})
	if err != nil {
		return "", target.name
	}
	return imported.Handle, ""
}

// nextTransferIdentity returns the identity of one export or import call. It differs from that of a
// run: the run follows on the engine of the import, and a refusal of the import must not be taken for
// a refusal of the run.
func (c *modelCall) nextTransferIdentity() upstream.Identity {
	c.kvTransfers++
	return upstream.Identity{RequestID: c.id + "-kv", Attempt: c.kvTransfers}
}

// maxHandleBytes is the maximum size of a response with a KV handle.
const maxHandleBytes = 64 << 10

// callKV sends one export or import call and returns the handle in its response.
func (c *modelCall) callKV(ctx context.Context, target *endpoint, path string, incarnation uint64, body any) (engineapi.KVHandle, error) {
	var handle engineapi.KVHandle
	request, err := newJSONPost(ctx, target.address, path, body)
	if err != nil {
		return handle, err
	}
	request.Header.Set(engineapi.HeaderPriority, strconv.Itoa(c.priority))
	request.Header.Set(engineapi.HeaderDeadline, strconv.FormatInt(c.timeLeft().Milliseconds(), 10))
	if incarnation != 0 {
		request.Header.Set(engineapi.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	}
	sentAt := c.proxy.clock()
	c.lastDispatch = lastDispatch{target: target, incarnation: incarnation, sentAt: sentAt}
	response, err := c.lane.pool.Do(request, c.nextTransferIdentity())
	if err != nil {
		c.reportBroken(ctx, err)
	}
	if errors.Is(err, upstream.ErrUnmatchedResponse) {
		return handle, err // the fault was in the connection, which has been closed
	}
	if err != nil {
		c.markSuspect(ctx, target)
		return handle, err
	}
	defer func() { _ = response.Body.Close() }()
	target.recordHeader(sentAt, c.proxy.clock(), response.Header)
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxHandleBytes))
	if err != nil {
		c.reportBroken(ctx, err)
		return handle, errors.Wrap(errKVTransfer, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		c.suspectOnServerError(target, response)
		return handle, errors.Wrapf(errKVTransfer, "%s responded with status %d", target.name, response.StatusCode)
	}
	if err := json.Unmarshal(encoded, &handle); err != nil {
		return handle, errors.Wrap(errKVTransfer, err.Error())
	}
	return handle, nil
}

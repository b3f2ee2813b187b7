package proxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// headerClaimHash carries a hash of the claim that a run belongs to. The caller's key itself is not
// forwarded: net/http would send a request with an Idempotency-Key header again by itself.
const headerClaimHash = "Engine-Idempotency"

// claim is the permission to run an at-most-once request, granted by the control
// group.
type claim struct {
	tenant string
	key    string
	nonce  uint64 // distinguishes this claim from others with the same key
}

// claimKey identifies the request that a claim is for.
type claimKey struct {
	tenant string
	key    string
}

// hash identifies the claim without revealing its key.
func (c *claim) hash() string {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.tenant) // writes to a digest never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(c.key)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// hashRequest returns a hash of the request, to detect a key that is reused for a
// different request.
func hashRequest(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method) // writes to a digest never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// recordedResponse is a response as it is stored with its claim.
type recordedResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// claimResult is the result of a claim request. Exactly one field is set.
type claimResult struct {
	granted  *claim
	response *recordedResponse
	failed   *failure
}

// acquireClaim asks the control group for permission to run an at-most-once request, within
// Timeouts.Claim. A pending outcome of an earlier request with the key is recorded first.
func (p *Proxy) acquireClaim(ctx context.Context, headers *requestHeaders, bodyHash uint64) claimResult {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Claim)
	defer cancel()
	if err := p.flushPending(ctx, claimKey{headers.tenant, headers.key}); err != nil {
		return p.claimUnavailable(headers, err)
	}
	request := state.ClaimRequest{
		Tenant:   headers.tenant,
		Key:      headers.key,
		BodyHash: bodyHash,
		Attempt:  1,
		Proxy:    p.config.ID,
		Nonce:    rand.Uint64(),
	}
	result, err := p.commitClaim(ctx, request)
	requested := &claim{tenant: headers.tenant, key: headers.key, nonce: request.Nonce}
	if errors.Is(err, feed.ErrOutcomeUnknown) {
		// The claim may have been granted, but the request will not run.
		record := p.prepareOutcome(requested, api.RunNotRun, nil)
		p.tasks.Go(func() { p.recordOutcome(record) })
	}
	if err != nil {
		return p.claimUnavailable(headers, err)
	}
	switch result.Code {
	case api.ClaimGranted:
		return claimResult{granted: requested}
	case api.ClaimDone:
		return resultOfDoneClaim(&result.Claim)
	case api.ClaimConflict:
		return claimResult{failed: conflictFailure(codeKeyConflict, "the key was used with another body", attempt.RanNo)}
	default:
		return claimResult{failed: conflictFailure(codeKeyRunning, "the key's run is under way or its outcome is not known", attempt.RanUnknown)}
	}
}

// claimUnavailable logs that a request could not be claimed, and returns the result: it was not run.
func (p *Proxy) claimUnavailable(headers *requestHeaders, cause error) claimResult {
	event.ProxyClaimFailed.Log(p.logger, "tenant", headers.tenant, "error", cause)
	return claimResult{failed: unavailableFailure(codeNoQuorum, "the request could not be claimed, so it was not run", time.Second)}
}

// commitClaim sends the claim a second time if the first attempt may have been committed; the same
// nonce yields the same result. If the second attempt certainly did not reach the group, the outcome
// of the first remains unknown and its error is returned.
func (p *Proxy) commitClaim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	result, err := p.control.Claim(ctx, request)
	if !errors.Is(err, feed.ErrOutcomeUnknown) || ctx.Err() != nil {
		return result, err
	}
	result, retryErr := p.control.Claim(ctx, request)
	if errors.Is(retryErr, feed.ErrNoQuorum) {
		return result, err
	}
	return result, retryErr
}

func conflictFailure(code, message string, ran attempt.Ran) *failure {
	return &failure{status: http.StatusConflict, errorType: typeInvalid, code: code, message: message, runState: ran}
}

// resultOfDoneClaim returns the recorded response of a claim that is done, or the failure if its run
// is not known to have completed or its response was not stored.
func resultOfDoneClaim(done *api.Claim) claimResult {
	if done.Outcome != api.RunCompleted {
		return claimResult{failed: conflictFailure(codeKeyRunning, "the outcome of the key's run is not known", attempt.RanUnknown)}
	}
	var response recordedResponse
	if len(done.Answer) == 0 || json.Unmarshal(done.Answer, &response) != nil || response.Status == 0 {
		return claimResult{failed: conflictFailure(codeKeyDone, "the request was run before; its answer was not kept", attempt.RanYes)}
	}
	return claimResult{response: &response}
}

// finishClaim records the outcome of a claimed run. It waits for one attempt
// only, so that the response is not delayed while the control group is
// unavailable. Further attempts run in the background, independently of the
// request, whose caller may have disconnected.
func (p *Proxy) finishClaim(granted *claim, outcome api.RunOutcome, response *recordedResponse) {
	if granted == nil {
		return
	}
	p.recordOutcome(p.prepareOutcome(granted, outcome, response))
}

// prepareOutcome returns the outcome to record for a claim. A not-run outcome is also stored as
// pending until it is recorded, since the caller may send the request again before that.
func (p *Proxy) prepareOutcome(granted *claim, outcome api.RunOutcome, response *recordedResponse) *state.RunOutcome {
	record := &state.RunOutcome{Tenant: granted.tenant, Key: granted.key, Nonce: granted.nonce, Outcome: outcome}
	if response != nil {
		record.Answer = encodeRecorded(response)
	}
	if outcome == api.RunNotRun {
		p.pendingOutcomes.Store(claimKey{granted.tenant, granted.key}, record)
	}
	return record
}

// dropPending removes a record that the control group has confirmed or that the proxy has given up.
func (p *Proxy) dropPending(record *state.RunOutcome) {
	p.pendingOutcomes.CompareAndDelete(claimKey{record.Tenant, record.Key}, record)
}

// flushPending records the pending not-run outcome of an earlier request with
// the key, if there is one. It must be recorded before a new claim is sent.
func (p *Proxy) flushPending(ctx context.Context, key claimKey) error {
	pending, found := p.pendingOutcomes.Load(key)
	if !found {
		return nil
	}
	return p.sendOutcome(ctx, pending.(*state.RunOutcome))
}

// recordOutcome tries once to record the outcome and, if that fails, retries in the background.
func (p *Proxy) recordOutcome(record *state.RunOutcome) {
	if p.sendOutcome(context.Background(), record) != nil {
		p.tasks.Go(func() { p.retryOutcome(record) })
	}
}

func encodeRecorded(response *recordedResponse) []byte {
	encoded, err := json.Marshal(response)
	if err != nil {
		panic(err) // programming error: the type always encodes
	}
	if len(encoded) > state.MaxAnswerBytes {
		return nil
	}
	return encoded
}

// outcomeRetries is how often recording an outcome is retried; a not-run outcome is retried until the
// proxy stops. Recording an outcome is idempotent.
const outcomeRetries = 2

func (p *Proxy) sendOutcome(ctx context.Context, record *state.RunOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Claim)
	defer cancel()
	if err := p.control.RecordOutcome(ctx, *record); err != nil {
		return err
	}
	p.dropPending(record)
	return nil
}

// retryOutcome retries to record an outcome. If the request was certainly not
// run, it retries for as long as the proxy runs, since otherwise the caller
// would find the key in use when it sends the request again.
func (p *Proxy) retryOutcome(record *state.RunOutcome) {
	defer p.dropPending(record)
	rng := newRandom()
	var err error
	for try := 0; try < outcomeRetries || p.retriesUntilConfirmed(record); try++ {
		delay, _ := p.config.Backoff.Delay(try, time.Hour, rng) // an hour, since no deadline applies
		time.Sleep(delay)
		if err = p.sendOutcome(context.Background(), record); err == nil {
			return
		}
	}
	event.ProxyOutcomeLost.Log(p.logger, "tenant", record.Tenant, "outcome", string(record.Outcome), "error", err)
}

// retriesUntilConfirmed reports whether recording is retried without limit.
func (p *Proxy) retriesUntilConfirmed(record *state.RunOutcome) bool {
	return record.Outcome == api.RunNotRun && p.background.Err() == nil
}

// outcomeFor returns the outcome to record for a request that was reported to its caller with the run
// state ran.
func outcomeFor(ran attempt.Ran) api.RunOutcome {
	if ran == attempt.RanNo {
		return api.RunNotRun
	}
	return api.RunUnknown
}

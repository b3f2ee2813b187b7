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

// headerIdempotency tells a back end which claim a run belongs to, as a hash.
// The caller's key itself is not passed on: net/http takes a request with an
// Idempotency-Key for one that it may send again.
const headerIdempotency = "Engine-Idempotency"

// claim is the right to run a marked request, given by the control group.
type claim struct {
	tenant string
	key    string
	nonce  uint64
}

// claimKey is what two claims on the same run have in common.
type claimKey struct {
	tenant string
	key    string
}

// hash names the claim without its key.
func (c *claim) hash() string {
	digest := xxhash.New()
	_, _ = digest.WriteString(c.tenant) // a digest's writes never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(c.key)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// hashBody identifies what a key stands for.
func hashBody(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method) // a digest's writes never fail
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// recorded is an answer as it is kept with its claim.
type recorded struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// claimed is the result of asking for a claim: exactly one field is set.
type claimed struct {
	granted *claim
	answer  *recorded
	failed  *failure
}

// claimRun asks the control group for the right to run a marked request.
func (p *Proxy) claimRun(ctx context.Context, read *envelope, bodyHash uint64) claimed {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Claim)
	defer cancel()
	if err := p.recordOwed(ctx, claimKey{read.tenant, read.key}); err != nil {
		return p.notClaimed(read, err)
	}
	request := state.ClaimRequest{
		Tenant:   read.tenant,
		Key:      read.key,
		BodyHash: bodyHash,
		Attempt:  1,
		Proxy:    p.config.ID,
		Nonce:    rand.Uint64(),
	}
	result, err := p.commitClaim(ctx, request)
	asked := &claim{tenant: read.tenant, key: read.key, nonce: request.Nonce}
	if errors.Is(err, feed.ErrOutcomeUnknown) {
		// It may have been granted; nothing will be dispatched under it.
		record := p.owe(asked, api.RunNotRun, nil)
		p.tasks.Go(func() { p.record(record) })
	}
	if err != nil {
		return p.notClaimed(read, err)
	}
	switch result.Code {
	case api.ClaimGranted:
		return claimed{granted: asked}
	case api.ClaimDone:
		return replay(&result.Claim)
	case api.ClaimConflict:
		return claimed{failed: conflict(codeKeyConflict, "the key was used with another body", attempt.RanNo)}
	default:
		return claimed{failed: conflict(codeKeyRunning, "the key's run is under way or its outcome is not known", attempt.RanUnknown)}
	}
}

// notClaimed refuses a request that was not dispatched for want of a claim.
func (p *Proxy) notClaimed(read *envelope, cause error) claimed {
	event.ProxyClaimFailed.Log(p.logger, "tenant", read.tenant, "error", cause)
	return claimed{failed: unavailable(codeNoQuorum, "the request could not be claimed, so it was not run", time.Second)}
}

// commitClaim tries twice where the first try may have been committed: the same
// nonce gets the same answer. A second try that surely was not made says nothing
// of the first, whose outcome stays unknown.
func (p *Proxy) commitClaim(ctx context.Context, request state.ClaimRequest) (api.ClaimResult, error) {
	result, err := p.control.Claim(ctx, request)
	if !errors.Is(err, feed.ErrOutcomeUnknown) || ctx.Err() != nil {
		return result, err
	}
	result, again := p.control.Claim(ctx, request)
	if errors.Is(again, feed.ErrNoQuorum) {
		return result, err
	}
	return result, again
}

func conflict(code, message string, ran attempt.Ran) *failure {
	return &failure{status: http.StatusConflict, kind: typeInvalid, code: code, message: message, ran: ran}
}

// replay turns a claim that is done into its recorded answer.
func replay(done *api.Claim) claimed {
	if done.Outcome != api.RunCompleted {
		return claimed{failed: conflict(codeKeyRunning, "the outcome of the key's run is not known", attempt.RanUnknown)}
	}
	var answer recorded
	if len(done.Answer) == 0 || json.Unmarshal(done.Answer, &answer) != nil || answer.Status == 0 {
		return claimed{failed: conflict(codeKeyDone, "the request was run before; its answer was not kept", attempt.RanYes)}
	}
	return claimed{answer: &answer}
}

// settleClaim records what became of a claimed run. It waits for one try only,
// so that the caller's answer is not held while the control group is away;
// further tries go on without the request, whose caller may have gone.
func (p *Proxy) settleClaim(held *claim, outcome api.RunOutcome, answer *recorded) {
	if held == nil {
		return
	}
	p.record(p.owe(held, outcome, answer))
}

// owe returns what is to be recorded of a claim. That a request was not run is
// kept until it is recorded: its caller may ask again before.
func (p *Proxy) owe(held *claim, outcome api.RunOutcome, answer *recorded) *state.RunOutcome {
	record := &state.RunOutcome{Tenant: held.tenant, Key: held.key, Nonce: held.nonce, Outcome: outcome}
	if answer != nil {
		record.Answer = encodeRecorded(answer)
	}
	if outcome == api.RunNotRun {
		p.owed.Store(claimKey{held.tenant, held.key}, record)
	}
	return record
}

// settled ends the keeping of a record that is confirmed or given up.
func (p *Proxy) settled(record *state.RunOutcome) {
	p.owed.CompareAndDelete(claimKey{record.Tenant, record.Key}, record)
}

// recordOwed records that this proxy has not run an earlier request with the
// key, if that is still owed: a new claim must not overtake it.
func (p *Proxy) recordOwed(ctx context.Context, key claimKey) error {
	owed, found := p.owed.Load(key)
	if !found {
		return nil
	}
	return p.tryOutcome(ctx, owed.(*state.RunOutcome))
}

// record tries once, and leaves further tries to the background.
func (p *Proxy) record(record *state.RunOutcome) {
	if p.tryOutcome(context.Background(), record) != nil {
		p.tasks.Go(func() { p.retryOutcome(record) })
	}
}

func encodeRecorded(answer *recorded) []byte {
	encoded, err := json.Marshal(answer)
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	if len(encoded) > state.MaxAnswerBytes {
		return nil
	}
	return encoded
}

// outcomeRetries is how often recording an outcome is tried again. Recording
// the same outcome again changes nothing.
const outcomeRetries = 2

func (p *Proxy) tryOutcome(ctx context.Context, record *state.RunOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeouts.Claim)
	defer cancel()
	if err := p.control.RecordOutcome(ctx, *record); err != nil {
		return err
	}
	p.settled(record)
	return nil
}

func (p *Proxy) retryOutcome(record *state.RunOutcome) {
	defer p.settled(record)
	random := newRandom()
	var err error
	for try := range outcomeRetries {
		delay, _ := p.config.Backoff.Delay(try, time.Hour, random)
		time.Sleep(delay)
		if err = p.tryOutcome(context.Background(), record); err == nil {
			return
		}
	}
	event.ProxyOutcomeLost.Log(p.logger, "tenant", record.Tenant, "outcome", string(record.Outcome), "error", err)
}

// outcomeOf translates what the caller is told into what is recorded.
func outcomeOf(ran attempt.Ran) api.RunOutcome {
	if ran == attempt.RanNo {
		return api.RunNotRun
	}
	return api.RunUnknown
}

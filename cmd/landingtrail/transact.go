package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// maxAttempts bounds the retries after another writer came first. Only writes
// whose revision the user did not give are retried.
const maxAttempts = 8

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9][-A-Za-z0-9._:]{0,127}$`)

// revisions are the revisions that the user saw, by object.
type revisions map[api.Key]uint64

// parseRevisions reads "KIND/NAME=REVISION,…".
func parseRevisions(text string) (revisions, error) {
	given := revisions{}
	if text == "" {
		return given, nil
	}
	for _, part := range strings.Split(text, ",") {
		keyText, numberText, _ := strings.Cut(part, "=")
		key, err := parseKey("revisions", keyText)
		if err != nil {
			return nil, err
		}
		number, err := strconv.ParseUint(numberText, 10, 64)
		if err != nil {
			return nil, cli.UsageError{Field: "revisions", Message: "must be KIND/NAME=REVISION with a whole number, got " + strconv.Quote(part)}
		}
		given[key] = number
	}
	return given, nil
}

// String returns the flag's form, in a fixed order.
func (r revisions) String() string {
	var parts []string
	for key, number := range r {
		parts = append(parts, fmt.Sprintf("%s=%d", key, number))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

// write is a change that is made by compare-and-set.
type write struct {
	operationID string
	dryRun      bool
	allowBroad  bool
	// given holds the revisions that the user named; the others are read.
	given revisions
	keys  []api.Key
	// edits is set when the writes are made from the objects that stand now;
	// these are then read also where the user named the revision.
	edits bool
	// build returns the writes; none when everything already is as wanted.
	build func(current map[api.Key]*api.Object) ([]api.Write, error)
}

// written is what became of a write.
type written struct {
	OperationID string                `json:"operationId"`
	Revisions   string                `json:"revisions"` // as --revisions takes them
	Result      api.TransactionResult `json:"result"`
	highest     uint64                // of the revisions
}

// operationID returns the given ID or draws one.
func operationID(given string) (string, error) {
	if given == "" {
		return rand.Text(), nil
	}
	if !operationPattern.MatchString(given) {
		return "", cli.UsageError{Field: "operation-id", Message: "must be 1 to 128 letters, digits, '-', '.', '_' and ':', got " + strconv.Quote(given)}
	}
	return given, nil
}

// run makes the write. When another writer came first and the user named no
// revision, it reads again and tries under a new operation ID: the one before
// was refused for sure.
func (w write) run(ctx context.Context, client *operator.Client) (written, error) {
	id, err := operationID(w.operationID)
	if err != nil {
		return written{}, err
	}
	for attempt := 1; ; attempt++ {
		attemptID := id
		if attempt > 1 {
			attemptID = fmt.Sprintf("%s.%d", id, attempt)
		}
		done, err := w.attempt(ctx, client, attemptID)
		if err != nil {
			return done, err
		}
		if done.Result.Code != api.OutcomeRevisionConflict || attempt == maxAttempts || !w.mayRetry(done.Result) {
			return done, outcomeError(done.Result)
		}
	}
}

func (w write) attempt(ctx context.Context, client *operator.Client, id string) (written, error) {
	current, compared, err := w.read(ctx, client)
	if err != nil {
		return written{}, err
	}
	writes, err := w.build(current)
	if err != nil {
		return written{}, err
	}
	done := written{OperationID: id, Revisions: compared.String(), highest: highest(compared)}
	if len(writes) == 0 {
		done.Result = api.TransactionResult{Code: api.OutcomeAccepted, Revision: done.highest}
		return done, nil
	}
	for _, one := range writes {
		key, _ := one.Object.Key()
		one.Object.Metadata().Revision = compared[key]
		clearStatus(one.Object)
	}
	done.Result, err = client.Transact(ctx, api.Transaction{
		OperationID: id,
		Writes:      writes,
		DryRun:      w.dryRun,
		AllowBroad:  w.allowBroad,
	})
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return done, errors.Wrap(err, w.resendHint(done))
	}
	return done, err
}

// resendHint says how to ask for the first answer.
func (w write) resendHint(done written) string {
	if w.edits {
		return fmt.Sprintf("resend with --operation-id %s --revision %d", done.OperationID, done.highest)
	}
	return fmt.Sprintf("resend with --operation-id %s --revisions %s", done.OperationID, done.Revisions)
}

// read returns what stands now and the revisions to compare with. An object
// whose revision the user gave is not read, so that a resend has the same body.
func (w write) read(ctx context.Context, client *operator.Client) (map[api.Key]*api.Object, revisions, error) {
	current := map[api.Key]*api.Object{}
	compared := revisions{}
	for _, key := range w.keys {
		number, named := w.given[key]
		compared[key] = number
		if named && !w.edits {
			continue
		}
		object, err := client.Object(ctx, key)
		if err != nil {
			return nil, nil, err
		}
		if object == nil {
			continue
		}
		current[key] = object
		if !named {
			compared[key] = object.Metadata().Revision
		}
	}
	return current, compared, nil
}

// clearStatus drops what the group observed: a resend must have the same body
// although the status has moved on.
func clearStatus(object api.Object) {
	switch {
	case object.Intent != nil:
		object.Intent.Status = api.IntentStatus{}
	case object.Engine != nil:
		object.Engine.Status = api.EngineStatus{}
	case object.Service != nil:
		object.Service.Status = api.ServiceStatus{}
	}
}

func highest(compared revisions) uint64 {
	var most uint64
	for _, number := range compared {
		most = max(most, number)
	}
	return most
}

// mayRetry reports whether every object in conflict was compared with a
// revision that the user did not give.
func (w write) mayRetry(result api.TransactionResult) bool {
	for _, conflict := range result.Conflicts {
		if _, named := w.given[conflict.Key]; named {
			return false
		}
	}
	return true
}

// outcomeError returns the error of a transaction that was not accepted.
func outcomeError(result api.TransactionResult) error {
	switch result.Code {
	case api.OutcomeAccepted:
		return nil
	case api.OutcomeInvalid:
		return settings.Faults(result.Faults)
	case api.OutcomeTooBroad:
		return cli.UsageError{Field: "allow-broad", Message: fmt.Sprintf("the change would move %d engines, more than the group's maxAffectedEngines; give --allow-broad to allow it: %s",
			len(result.AffectedEngines), listOrNone(result.AffectedEngines))}
	}
	return conflictError{conflictLines(result)}
}

func conflictLines(result api.TransactionResult) []string {
	if result.Code == api.OutcomeOperationConflict {
		return []string{"operation-id: was used with another body; nothing was changed"}
	}
	var lines []string
	for _, conflict := range result.Conflicts[:min(len(result.Conflicts), maxPrinted)] {
		lines = append(lines, conflictLine(result.Code, conflict))
	}
	if more := len(result.Conflicts) - maxPrinted; more > 0 {
		lines = append(lines, fmt.Sprintf("conflict: %d more, which --output json lists", more))
	}
	if len(lines) == 0 {
		lines = []string{string(result.Code)}
	}
	return lines
}

func conflictLine(code api.OutcomeCode, conflict api.Conflict) string {
	if code == api.OutcomeIntentConflict {
		return fmt.Sprintf("conflict: the intents %s want different things of engine %s; nothing was changed",
			strings.Join(conflict.Intents, " and "), conflict.Engine)
	}
	if conflict.Current == nil {
		return fmt.Sprintf("conflict: %s does not exist now; nothing was changed", conflict.Key)
	}
	return fmt.Sprintf("conflict: %s has revision %d now; nothing was changed", conflict.Key, conflict.Current.Metadata().Revision)
}

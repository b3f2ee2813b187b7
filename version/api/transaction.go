package api

// Write is one write or deletion of a transaction.
type Write struct {
	// Object holds the wanted metadata and spec; its revision is the one that
	// the writer read (0: must not exist). The status is ignored.
	Object Object `json:"object" yaml:"object"`
	// Delete removes the object instead of writing it.
	Delete bool `json:"delete,omitempty" yaml:"delete,omitempty"`
}

// Transaction is a set of writes that are accepted or rejected atomically.
type Transaction struct {
	// OperationID is the idempotency key: repeating it with the same body returns
	// the first result, with a different body OutcomeOperationConflict.
	OperationID string  `json:"operationId"`
	Writes      []Write `json:"writes"`
	DryRun      bool    `json:"dryRun,omitempty"`
	// AllowBroad lifts the limit on the number of engines that a transaction may reassign.
	AllowBroad bool `json:"allowBroad,omitempty"`
}

// OutcomeCode is the outcome of a transaction.
type OutcomeCode string

// Outcomes of a transaction.
const (
	OutcomeAccepted          OutcomeCode = "accepted"
	OutcomeRevisionConflict  OutcomeCode = "revision_conflict"  // an object has a different revision
	OutcomeOperationConflict OutcomeCode = "operation_conflict" // the operation ID was used with a different body
	OutcomeIntentConflict    OutcomeCode = "intent_conflict"    // two intents want different assignments for an engine
	OutcomeInvalid           OutcomeCode = "invalid"            // validation errors in fields
	OutcomeTooBroad          OutcomeCode = "too_broad"          // one write would reassign more engines than the setting allows
)

// FieldFault is a validation error of one field.
type FieldFault struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Conflict describes why a transaction was rejected.
type Conflict struct {
	// Current is the current object in a revision conflict; nil if it does not exist.
	Current *Object `json:"current,omitempty"`
	Key     Key     `json:"key"`
	// Intents and Engine are set for an intent conflict.
	Intents []string `json:"intents,omitempty"`
	Engine  string   `json:"engine,omitempty"`
}

// TransactionResult is the result of a transaction, stored under its operation ID.
type TransactionResult struct {
	Code      OutcomeCode  `json:"code"`
	Revision  uint64       `json:"revision,omitempty"` // of the accepted transaction
	Conflicts []Conflict   `json:"conflicts,omitempty"`
	Faults    []FieldFault `json:"faults,omitempty"`
	// AffectedEngines lists the engines whose wanted assignment changes.
	AffectedEngines []string `json:"affectedEngines,omitempty"`
}

// ClaimCode is the outcome of a claim.
type ClaimCode string

// Outcomes of a claim; see Claim.
const (
	ClaimGranted  ClaimCode = "granted"  // this attempt, and no other, may be dispatched
	ClaimRunning  ClaimCode = "running"  // granted before, but no outcome is recorded: it may have run
	ClaimDone     ClaimCode = "done"     // an outcome is recorded
	ClaimConflict ClaimCode = "conflict" // same key, different body
)

// RunOutcome is the known outcome of the run of a claimed request.
type RunOutcome string

// Outcomes of a run.
const (
	RunUnknown   RunOutcome = "unknown"
	RunCompleted RunOutcome = "completed"
	RunNotRun    RunOutcome = "not_run" // definitely not run: the key may be claimed again
)

// Claim is the stored claim of a request that must run at most once. Key is the client's
// idempotency key, which is unique per tenant.
type Claim struct {
	Tenant   string     `json:"tenant"`
	Key      string     `json:"key"`
	BodyHash uint64     `json:"bodyHash,string"`
	Attempt  uint32     `json:"attempt"`
	Proxy    string     `json:"proxy"`
	Outcome  RunOutcome `json:"outcome"`
	// Answer is the recorded response, if it was small enough to store.
	Answer []byte `json:"answer,omitempty"`
	// GrantedAt is the time on the group's clock (see state.Command) in milliseconds.
	GrantedAt int64  `json:"grantedAt"`
	Revision  uint64 `json:"revision"`
}

// ClaimResult is the response to a claim.
type ClaimResult struct {
	Code  ClaimCode `json:"code"`
	Claim Claim     `json:"claim"`
}

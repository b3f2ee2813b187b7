package api

// Write is one part of a transaction.
type Write struct {
	// Object holds the wanted metadata and spec; its revision is the one the
	// writer saw (0: must not exist). The status is ignored.
	Object Object `json:"object" yaml:"object"`
	// Delete removes the object instead.
	Delete bool `json:"delete,omitempty" yaml:"delete,omitempty"`
}

// Transaction is a set of writes that are accepted or refused as one.
type Transaction struct {
	// OperationID names the transaction: a resend with the same ID and body
	// gets the first answer, with another body a conflict.
	OperationID string  `json:"operationId"`
	Writes      []Write `json:"writes"`
	DryRun      bool    `json:"dryRun,omitempty"`
	// AllowBroad lifts the bound on how many engines one transaction may move.
	AllowBroad bool `json:"allowBroad,omitempty"`
}

// OutcomeCode says what became of a transaction.
type OutcomeCode string

// Outcomes of a transaction.
const (
	OutcomeAccepted          OutcomeCode = "accepted"
	OutcomeRevisionConflict  OutcomeCode = "revision_conflict"  // an object has another revision
	OutcomeOperationConflict OutcomeCode = "operation_conflict" // the operation ID was used with another body
	OutcomeIntentConflict    OutcomeCode = "intent_conflict"    // two intents want different things of one engine
	OutcomeInvalid           OutcomeCode = "invalid"            // faults in fields
	OutcomeTooBroad          OutcomeCode = "too_broad"          // one write would move more engines than the setting allows
)

// FieldFault is one fault of one field.
type FieldFault struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Conflict names what stands in the way of a transaction.
type Conflict struct {
	// Current is what stands now, for a revision conflict; nil when the object does not exist.
	Current *Object `json:"current,omitempty"`
	Key     Key     `json:"key"`
	// Intents and Engine are set for an intent conflict.
	Intents []string `json:"intents,omitempty"`
	Engine  string   `json:"engine,omitempty"`
}

// TransactionResult is the answer that is kept under the operation ID.
type TransactionResult struct {
	Code      OutcomeCode  `json:"code"`
	Revision  uint64       `json:"revision,omitempty"` // of the accepted transaction
	Conflicts []Conflict   `json:"conflicts,omitempty"`
	Faults    []FieldFault `json:"faults,omitempty"`
	// AffectedEngines lists the engines whose wanted assignment changes.
	AffectedEngines []string `json:"affectedEngines,omitempty"`
}

// ClaimCode says what became of a claim.
type ClaimCode string

// Outcomes of a claim.
const (
	ClaimGranted  ClaimCode = "granted"  // this attempt, and no other, may be dispatched
	ClaimRunning  ClaimCode = "running"  // granted before, no outcome recorded: unknown
	ClaimDone     ClaimCode = "done"     // an outcome is recorded
	ClaimConflict ClaimCode = "conflict" // same key, other body
)

// RunOutcome is what is known of a claimed request's run.
type RunOutcome string

// Outcomes of a run.
const (
	RunUnknown   RunOutcome = "unknown"
	RunCompleted RunOutcome = "completed"
	RunNotRun    RunOutcome = "not_run" // surely not run: the key may be claimed again
)

// Claim is one at-most-once claim as the state keeps it.
type Claim struct {
	Tenant   string     `json:"tenant"`
	Key      string     `json:"key"`
	BodyHash uint64     `json:"bodyHash,string"`
	Attempt  uint32     `json:"attempt"`
	Proxy    string     `json:"proxy"`
	Outcome  RunOutcome `json:"outcome"`
	// Answer is the recorded answer, if it was small enough to keep.
	Answer []byte `json:"answer,omitempty"`
	// GrantedAt is the group's clock (see state.Command) in milliseconds.
	GrantedAt int64  `json:"grantedAt"`
	Revision  uint64 `json:"revision"`
}

// ClaimResult answers a claim.
type ClaimResult struct {
	Code  ClaimCode `json:"code"`
	Claim Claim     `json:"claim"`
}

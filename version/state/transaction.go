package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/landingtrail/landingtrail/version/api"
)

// MaxOperationIDBytes is the maximum length of an operation ID.
const MaxOperationIDBytes = 256

// operation is the record stored for an operation ID. It is immutable.
type operation struct {
	bodyHash uint64
	result   api.TransactionResult
}

// transact executes a transaction at most once per operation ID.
//
// The first result is stored whether the transaction was accepted or rejected, and
// a resend gets the same result: once the sender has acted on a rejection, a resend of
// the same operation must not be accepted. To try again, including with AllowBroad set,
// a writer uses a new ID. Results are not stored in three cases: a dry run, which
// changes nothing; an invalid ID; and an ID already used with another body, which keeps
// the result of the first body.
func (m *Machine) transact(transaction *api.Transaction, limits TransactionLimits) api.TransactionResult {
	if transaction.DryRun {
		return m.newPlan(transaction, limits).result
	}
	if fault, ok := validateOperationID(transaction.OperationID); !ok {
		return api.TransactionResult{Code: api.OutcomeInvalid, Faults: []api.FieldFault{fault}}
	}
	bodyHash := hashBody(transaction)
	if e := m.operations.get(transaction.OperationID, m.clock); e != nil {
		if e.value.bodyHash != bodyHash {
			return api.TransactionResult{Code: api.OutcomeOperationConflict}
		}
		return e.value.result
	}
	plan := m.newPlan(transaction, limits)
	if plan.result.Code == api.OutcomeAccepted {
		plan.commit()
	}
	m.operations.add(transaction.OperationID, &entry[*operation]{
		revision: m.index,
		expires:  expiryTime(m.clock, limits.OperationRetention),
		value:    &operation{bodyHash: bodyHash, result: plan.result},
	})
	return plan.result
}

func validateOperationID(id string) (api.FieldFault, bool) {
	if id != "" && len(id) <= MaxOperationIDBytes {
		return api.FieldFault{}, true
	}
	message := fmt.Sprintf("must have 1 to %d bytes", MaxOperationIDBytes)
	return api.FieldFault{Field: "operationId", Message: message}, false
}

// hashBody returns the xxHash of what a transaction requests: AllowBroad and the writes.
// Statuses are left out because writes ignore them. Bodies with the same hash are taken
// for equal.
func hashBody(transaction *api.Transaction) uint64 {
	body := api.Transaction{AllowBroad: transaction.AllowBroad}
	for _, write := range transaction.Writes {
		write.Object = withoutStatus(write.Object)
		body.Writes = append(body.Writes, write)
	}
	return xxhash.Sum64(appendTransaction(nil, &body))
}

func withoutStatus(o api.Object) api.Object {
	if o.Intent != nil {
		o.Intent = &api.Intent{Metadata: o.Intent.Metadata, Spec: o.Intent.Spec}
	}
	if o.Engine != nil {
		o.Engine = &api.Engine{Metadata: o.Engine.Metadata, Spec: o.Engine.Spec}
	}
	if o.Service != nil {
		o.Service = &api.Service{Metadata: o.Service.Metadata, Spec: o.Service.Spec}
	}
	return o
}

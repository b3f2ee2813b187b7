package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// inForcePollInterval is the polling interval of WaitInForce.
const inForcePollInterval = 20 * time.Millisecond

// transactionCodes lists the codes of transaction results, which may come with any HTTP status.
var transactionCodes = map[api.OutcomeCode]bool{
	api.OutcomeAccepted:          true,
	api.OutcomeRevisionConflict:  true,
	api.OutcomeOperationConflict: true,
	api.OutcomeIntentConflict:    true,
	api.OutcomeInvalid:           true,
	api.OutcomeTooBroad:          true,
}

// Transact sends a transaction and returns its result. A transaction with an
// operation ID is resent if the response was lost; the resend returns the result of
// the first one. A dry run is resent as well.
func (c *Client) Transact(ctx context.Context, transaction api.Transaction) (api.TransactionResult, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return api.TransactionResult{}, errors.Wrap(err, "operator: encode transaction")
	}
	repeatable := transaction.OperationID != "" || transaction.DryRun
	received, err := c.callWithRetries(ctx, request{
		method:     http.MethodPost,
		path:       operatorapi.PathTransactions,
		body:       body,
		resendable: repeatable,
	})
	if err != nil {
		return api.TransactionResult{}, err
	}
	var result api.TransactionResult
	if err := json.Unmarshal(received.body, &result); err == nil && transactionCodes[result.Code] {
		return result, nil
	}
	return api.TransactionResult{}, newRefusedError(received)
}

// Objects reads all objects of a kind, or only the named one if name is not empty. An
// unknown kind or name is a RefusedError with status 404.
func (c *Client) Objects(ctx context.Context, kind api.Kind, name string) (operatorapi.ObjectList, error) {
	path := operatorapi.PathObjects + "/" + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	var list operatorapi.ObjectList
	return list, c.readJSON(ctx, path, &list)
}

// Object reads one object. It returns nil without an error if the object does not exist.
func (c *Client) Object(ctx context.Context, key api.Key) (*api.Object, error) {
	list, err := c.Objects(ctx, key.Kind, key.Name)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(list.Objects) == 0 {
		return nil, nil
	}
	return &list.Objects[0], nil
}

// InForce reads how far the daemons have applied a revision.
func (c *Client) InForce(ctx context.Context, revision uint64) (operatorapi.InForce, error) {
	var state operatorapi.InForce
	return state, c.readJSON(ctx, fmt.Sprintf("%s?revision=%d", operatorapi.PathInForce, revision), &state)
}

// WaitInForce polls every 20 ms until the revision is in force (InForce.Done) or ctx ends. With an
// error it returns the last state that was read.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) (operatorapi.InForce, error) {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	var last operatorapi.InForce
	for {
		state, err := c.InForce(ctx, revision)
		if err != nil {
			return last, err
		}
		last = state
		if state.Done {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return last, errors.Wrap(ctx.Err(), "operator: not in force yet")
		case <-ticker.C:
		}
	}
}

// Status reads the group's status.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	return status, c.readJSON(ctx, operatorapi.PathStatus, &status)
}

// Orders reads the open orders.
func (c *Client) Orders(ctx context.Context) (operatorapi.OrderList, error) {
	var orders operatorapi.OrderList
	return orders, c.readJSON(ctx, operatorapi.PathOrders, &orders)
}

// Ledger reads the claim on a tenant's key. The result reflects every write acknowledged
// before the call.
func (c *Client) Ledger(ctx context.Context, tenant, key string) (operatorapi.Ledger, error) {
	query := url.Values{"tenant": {tenant}, "key": {key}}
	var ledger operatorapi.Ledger
	return ledger, c.readJSON(ctx, operatorapi.PathLedger+"?"+query.Encode(), &ledger)
}

// Quotas reads the quota balances of the tenants.
func (c *Client) Quotas(ctx context.Context) (operatorapi.QuotaList, error) {
	var list operatorapi.QuotaList
	return list, c.readJSON(ctx, operatorapi.PathQuotas, &list)
}

// Usage reads the usage of each tenant in each window.
func (c *Client) Usage(ctx context.Context) (operatorapi.UsageList, error) {
	var list operatorapi.UsageList
	return list, c.readJSON(ctx, operatorapi.PathUsage, &list)
}

// Release releases a quarantined request, so that it may run again. It is not resent if
// the response was lost, since the request may have been quarantined again in the
// meantime; check its quarantine record instead, which this client cannot read.
func (c *Client) Release(ctx context.Context, fingerprint string) (operatorapi.Released, error) {
	received, err := c.callWithRetries(ctx, request{
		method: http.MethodDelete,
		path:   operatorapi.PathQuarantine + "/" + url.PathEscape(fingerprint),
	})
	if err != nil {
		return operatorapi.Released{}, err
	}
	var released operatorapi.Released
	return released, decodeResponse(received, &released)
}

// ChangeMembers requests one step of a membership change. Only an addition is resent if
// the response was lost, since it is idempotent; after any other step, read the status
// first.
func (c *Client) ChangeMembers(ctx context.Context, change operatorapi.MemberRequest) (operatorapi.MemberReply, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return operatorapi.MemberReply{}, errors.Wrap(err, "operator: encode membership change")
	}
	received, err := c.callWithRetries(ctx, request{
		method:     http.MethodPost,
		path:       operatorapi.PathMembers,
		body:       body,
		resendable: change.Action == operatorapi.MemberAdd,
	})
	if err != nil {
		return operatorapi.MemberReply{}, err
	}
	var reply operatorapi.MemberReply
	return reply, decodeResponse(received, &reply)
}

// readJSON reads a JSON body with GET. An unknown outcome becomes ErrNotAccepted.
func (c *Client) readJSON(ctx context.Context, path string, target any) error {
	received, err := c.callWithRetries(ctx, request{method: http.MethodGet, path: path, resendable: true})
	if errors.Is(err, ErrOutcomeUnknown) {
		// A read without a response changed nothing.
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	if err != nil {
		return err
	}
	return decodeResponse(received, target)
}

func decodeResponse(received memberResponse, target any) error {
	if received.status != http.StatusOK {
		return newRefusedError(received)
	}
	if err := json.Unmarshal(received.body, target); err != nil {
		return errors.Wrap(err, "operator: decode answer")
	}
	return nil
}

func newRefusedError(received memberResponse) error {
	return &RefusedError{Status: received.status, Body: decodeError(received)}
}

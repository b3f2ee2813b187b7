package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/backlog"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// scriptedMember is a scripted control member: each request is served by the next step, and the
// last step repeats.
type scriptedMember struct {
	server *httptest.Server
	mutex  sync.Mutex
	steps  []http.HandlerFunc
	bodies []string
}

func newScriptedMember(t *testing.T, steps ...http.HandlerFunc) *scriptedMember {
	scripted := &scriptedMember{steps: steps}
	scripted.server = httptest.NewServer(http.HandlerFunc(scripted.serve))
	t.Cleanup(scripted.server.Close)
	return scripted
}

func (m *scriptedMember) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.mutex.Lock()
	m.bodies = append(m.bodies, string(body))
	step := m.steps[0]
	if len(m.steps) > 1 {
		m.steps = m.steps[1:]
	}
	m.mutex.Unlock()
	step(w, r)
}

func (m *scriptedMember) address() string { return strings.TrimPrefix(m.server.URL, "http://") }

func (m *scriptedMember) received() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]string(nil), m.bodies...)
}

func respond(status int, value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}

// dropConnection drops the connection after the request was received.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncateResponse sends only the first part of a response.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"code":"accepted"`)
}

func respondError(code operatorapi.ErrorCode, status int, leader string) http.HandlerFunc {
	return respond(status, operatorapi.Error{Code: code, Message: "no", Leader: leader})
}

// withRetryAfter adds a Retry-After of one second, as members without a quorum do.
func withRetryAfter(step http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1")
		step(w, r)
	}
}

func respondAccepted(revision uint64) http.HandlerFunc {
	return respond(http.StatusOK, api.TransactionResult{Code: api.OutcomeAccepted, Revision: revision})
}

func newClient(t *testing.T, timeout time.Duration, addresses ...string) *operator.Client {
	return newClientWithAttemptTimeout(t, timeout, time.Second, addresses...)
}

// newClientWithAttemptTimeout returns a client with the given attempt timeout.
func newClientWithAttemptTimeout(t *testing.T, timeout, attempt time.Duration, addresses ...string) *operator.Client {
	client, err := operator.New(operator.Config{Members: addresses, Timeout: timeout, AttemptTimeout: attempt})
	must.NoError(t, err)
	return client
}

// deadAddress returns an address without a listener that no other test uses. All clients
// of a process share the circuit breaker of an address, which could otherwise refuse
// every attempt.
func deadAddress() string {
	number := deadAddresses.Add(1)
	return fmt.Sprintf("127.1.%d.%d:1", number>>8&255, number&255)
}

var deadAddresses atomic.Uint32

const (
	longTimeout  = 20 * time.Second
	shortTimeout = 300 * time.Millisecond
	// delayTimeout ends during the delay that withRetryAfter requests and never during
	// a request, whose outcome would then be unknown.
	delayTimeout = 900 * time.Millisecond
)

var change = api.Transaction{OperationID: "op-1"}

func TestTransactOutcomes(t *testing.T) {
	noQuorum := respondError(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, "")
	unknown := respondError(operatorapi.ErrorOutcomeUnknown, http.StatusGatewayTimeout, "")
	cases := []struct {
		name    string
		timeout time.Duration
		steps   []http.HandlerFunc
		want    error
		code    api.OutcomeCode
	}{
		{"accepted", longTimeout, []http.HandlerFunc{respondAccepted(7)}, nil, api.OutcomeAccepted},
		{"response lost, then the first result", longTimeout, []http.HandlerFunc{dropConnection, respondAccepted(7)}, nil, api.OutcomeAccepted},
		{"response truncated, then the first result", longTimeout, []http.HandlerFunc{truncateResponse, respondAccepted(7)}, nil, api.OutcomeAccepted},
		{"unknown, then the first result", longTimeout, []http.HandlerFunc{unknown, respondAccepted(7)}, nil, api.OutcomeAccepted},
		{"no quorum at first", longTimeout, []http.HandlerFunc{noQuorum, noQuorum, respondAccepted(7)}, nil, api.OutcomeAccepted},
		{"no quorum until the timeout", delayTimeout, []http.HandlerFunc{withRetryAfter(noQuorum)}, operator.ErrNotAccepted, ""},
		{"responses lost until the timeout", shortTimeout, []http.HandlerFunc{dropConnection}, operator.ErrOutcomeUnknown, ""},
		{"response lost, then no quorum: the first attempt may have had an effect", shortTimeout, []http.HandlerFunc{dropConnection, noQuorum}, operator.ErrOutcomeUnknown, ""},
		{"no JSON until the timeout", shortTimeout, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }}, operator.ErrOutcomeUnknown, ""},
		{
			"conflict with status 409", longTimeout,
			[]http.HandlerFunc{respond(http.StatusConflict, api.TransactionResult{Code: api.OutcomeRevisionConflict})}, nil, api.OutcomeRevisionConflict,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			scripted := newScriptedMember(t, test.steps...)
			client := newClient(t, test.timeout, scripted.address())
			result, err := client.Transact(context.Background(), change)
			if test.want == nil {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, test.want)
			}
			must.Eq(t, test.code, result.Code)
			for _, body := range scripted.received() {
				must.Eq(t, scripted.received()[0], body, must.Sprint("the resend has another body"))
			}
		})
	}
}

func TestUnreachableMemberIsNotAccepted(t *testing.T) {
	client := newClient(t, shortTimeout, deadAddress())
	_, err := client.Transact(context.Background(), change)
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

// A change that reached no member is certainly not accepted, even if the call times out
// while connecting. The error is then that of the whole attempt and not that of the dial,
// and must not be reported as an unknown outcome.
func TestTimeoutWhileConnectingIsNotAccepted(t *testing.T) {
	hanging, err := backlog.NewFull()
	must.NoError(t, err)
	defer hanging.Close()
	_, err = newClient(t, shortTimeout, hanging.Address()).Transact(context.Background(), change)
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

func TestErrorNamesEveryMember(t *testing.T) {
	member := newScriptedMember(t, respondError(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, ""))
	dead := deadAddress()
	_, err := newClient(t, time.Second, member.address(), dead).Status(context.Background())
	must.StrContains(t, err.Error(), member.address()+": no_quorum")
	must.StrContains(t, err.Error(), dead+": dial tcp")
}

func TestEveryMemberIsTried(t *testing.T) {
	up := newScriptedMember(t, respondAccepted(3))
	client := newClient(t, longTimeout, deadAddress(), deadAddress(), up.address())
	result, err := client.Transact(context.Background(), change)
	must.NoError(t, err)
	must.Eq(t, 3, result.Revision)
}

func TestLeaderHintIsFollowed(t *testing.T) {
	leader := newScriptedMember(t, respondAccepted(9))
	follower := newScriptedMember(t, respondError(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, leader.address()))
	// The attempt timeout is long, so that a slow response of the leader causes no second
	// round over the members.
	client := newClientWithAttemptTimeout(t, longTimeout, longTimeout, follower.address())
	result, err := client.Transact(context.Background(), change)
	must.NoError(t, err)
	must.Eq(t, 9, result.Revision)
	must.SliceLen(t, 1, follower.received())
}

func TestRefusedErrorHasFaults(t *testing.T) {
	faults := []api.FieldFault{{Field: "writes[0]", Message: "no"}}
	scripted := newScriptedMember(t, respond(http.StatusBadRequest, operatorapi.Error{Code: operatorapi.ErrorInvalidBody, Faults: faults}))
	_, err := newClient(t, longTimeout, scripted.address()).Transact(context.Background(), change)
	var refused *operator.RefusedError
	must.True(t, asRefused(err, &refused))
	must.Eq(t, faults, refused.Body.Faults)
}

func asRefused(err error, target **operator.RefusedError) bool {
	refused, ok := err.(*operator.RefusedError)
	*target = refused
	return ok
}

func TestMembershipChangeIsNotSentTwice(t *testing.T) {
	scripted := newScriptedMember(t, dropConnection, respond(http.StatusOK, operatorapi.MemberReply{}))
	client := newClient(t, longTimeout, scripted.address())
	_, err := client.ChangeMembers(context.Background(), operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: 1})
	must.ErrorIs(t, err, operator.ErrOutcomeUnknown)
	must.SliceLen(t, 1, scripted.received())
}

func TestReadIsResent(t *testing.T) {
	scripted := newScriptedMember(t, dropConnection, respond(http.StatusOK, operatorapi.Status{Term: 4}))
	status, err := newClient(t, longTimeout, scripted.address()).Status(context.Background())
	must.NoError(t, err)
	must.Eq(t, 4, status.Term)

	lost := newScriptedMember(t, dropConnection)
	_, err = newClient(t, shortTimeout, lost.address()).Status(context.Background())
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

func TestMissingObject(t *testing.T) {
	scripted := newScriptedMember(t, respondError(operatorapi.ErrorNotFound, http.StatusNotFound, ""))
	object, err := newClient(t, longTimeout, scripted.address()).Object(context.Background(), api.Key{Kind: api.KindEngine, Name: "e"})
	must.NoError(t, err)
	must.Nil(t, object)
}

func TestWaitInForce(t *testing.T) {
	scripted := newScriptedMember(t,
		respond(http.StatusOK, operatorapi.InForce{Waiting: []string{"p"}}),
		respond(http.StatusOK, operatorapi.InForce{Done: true, Acknowledged: 1}))
	state, err := newClient(t, longTimeout, scripted.address()).WaitInForce(context.Background(), 5)
	must.NoError(t, err)
	must.Eq(t, 1, state.Acknowledged)

	waiting := newScriptedMember(t, respond(http.StatusOK, operatorapi.InForce{Waiting: []string{"p"}}))
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	state, err = newClient(t, longTimeout, waiting.address()).WaitInForce(ctx, 5)
	must.Error(t, err)
	must.Eq(t, []string{"p"}, state.Waiting)
}

func TestNoMembers(t *testing.T) {
	_, err := operator.New(operator.Config{})
	must.ErrorIs(t, err, operator.ErrNoMembers)
}

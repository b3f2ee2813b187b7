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

// member is a scripted control member: each request is served by the next step, and the
// last step repeats.
type member struct {
	server *httptest.Server
	mutex  sync.Mutex
	steps  []http.HandlerFunc
	bodies []string
}

func newMember(t *testing.T, steps ...http.HandlerFunc) *member {
	scripted := &member{steps: steps}
	scripted.server = httptest.NewServer(http.HandlerFunc(scripted.serve))
	t.Cleanup(scripted.server.Close)
	return scripted
}

func (m *member) serve(w http.ResponseWriter, r *http.Request) {
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

func (m *member) address() string { return strings.TrimPrefix(m.server.URL, "http://") }

func (m *member) received() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]string(nil), m.bodies...)
}

func answer(status int, value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(value)
	}
}

// loseAnswer drops the connection after the request was received.
func loseAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cutAnswer sends only the first part of a response.
func cutAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"code":"accepted"`)
}

func refuse(code operatorapi.ErrorCode, status int, leader string) http.HandlerFunc {
	return answer(status, operatorapi.Error{Code: code, Message: "no", Leader: leader})
}

// askPause adds a Retry-After of one second, as members without a quorum do.
func askPause(step http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "1")
		step(w, r)
	}
}

func accepted(revision uint64) http.HandlerFunc {
	return answer(http.StatusOK, api.TransactionResult{Code: api.OutcomeAccepted, Revision: revision})
}

func newClient(t *testing.T, timeout time.Duration, addresses ...string) *operator.Client {
	return newClientTrying(t, timeout, time.Second, addresses...)
}

// newClientTrying returns a client with the given attempt timeout.
func newClientTrying(t *testing.T, timeout, attempt time.Duration, addresses ...string) *operator.Client {
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
	patient   = 20 * time.Second
	impatient = 300 * time.Millisecond
	// brief ends during the delay that askPause requests and never during a request,
	// whose outcome would then be unknown.
	brief = 900 * time.Millisecond
)

var change = api.Transaction{OperationID: "op-1"}

func TestTransactOutcomes(t *testing.T) {
	noQuorum := refuse(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, "")
	unknown := refuse(operatorapi.ErrorOutcomeUnknown, http.StatusGatewayTimeout, "")
	cases := []struct {
		name    string
		timeout time.Duration
		steps   []http.HandlerFunc
		want    error
		code    api.OutcomeCode
	}{
		{"accepted", patient, []http.HandlerFunc{accepted(7)}, nil, api.OutcomeAccepted},
		{"response lost, then the first result", patient, []http.HandlerFunc{loseAnswer, accepted(7)}, nil, api.OutcomeAccepted},
		{"response truncated, then the first result", patient, []http.HandlerFunc{cutAnswer, accepted(7)}, nil, api.OutcomeAccepted},
		{"unknown, then the first result", patient, []http.HandlerFunc{unknown, accepted(7)}, nil, api.OutcomeAccepted},
		{"no quorum at first", patient, []http.HandlerFunc{noQuorum, noQuorum, accepted(7)}, nil, api.OutcomeAccepted},
		{"no quorum until the timeout", brief, []http.HandlerFunc{askPause(noQuorum)}, operator.ErrNotAccepted, ""},
		{"responses lost until the timeout", impatient, []http.HandlerFunc{loseAnswer}, operator.ErrOutcomeUnknown, ""},
		{"response lost, then no quorum: the first attempt may have had an effect", impatient, []http.HandlerFunc{loseAnswer, noQuorum}, operator.ErrOutcomeUnknown, ""},
		{"no JSON until the timeout", impatient, []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }}, operator.ErrOutcomeUnknown, ""},
		{
			"conflict with status 409", patient,
			[]http.HandlerFunc{answer(http.StatusConflict, api.TransactionResult{Code: api.OutcomeRevisionConflict})}, nil, api.OutcomeRevisionConflict,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			scripted := newMember(t, test.steps...)
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

func TestMembersThatCannotBeReachedAreSurelyNotAccepted(t *testing.T) {
	client := newClient(t, impatient, deadAddress())
	_, err := client.Transact(context.Background(), change)
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

// A change that had reached no member was reported with an unknown outcome if the call
// timed out while connecting, because the error is then that of the whole attempt and
// not that of the dial.
func TestCallThatEndsWhileItConnectsIsSurelyNotAccepted(t *testing.T) {
	hanging, err := backlog.NewFull()
	must.NoError(t, err)
	defer hanging.Close()
	_, err = newClient(t, impatient, hanging.Address()).Transact(context.Background(), change)
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

func TestEveryMembersFailureIsNamed(t *testing.T) {
	member := newMember(t, refuse(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, ""))
	dead := deadAddress()
	_, err := newClient(t, time.Second, member.address(), dead).Status(context.Background())
	must.StrContains(t, err.Error(), member.address()+": no_quorum")
	must.StrContains(t, err.Error(), dead+": dial tcp")
}

func TestEveryMemberIsTried(t *testing.T) {
	up := newMember(t, accepted(3))
	client := newClient(t, patient, deadAddress(), deadAddress(), up.address())
	result, err := client.Transact(context.Background(), change)
	must.NoError(t, err)
	must.Eq(t, 3, result.Revision)
}

func TestLeaderHintIsFollowed(t *testing.T) {
	leader := newMember(t, accepted(9))
	follower := newMember(t, refuse(operatorapi.ErrorNoQuorum, http.StatusServiceUnavailable, leader.address()))
	// The attempt timeout is long, so that a slow response of the leader causes no second
	// round over the members.
	client := newClientTrying(t, patient, patient, follower.address())
	result, err := client.Transact(context.Background(), change)
	must.NoError(t, err)
	must.Eq(t, 9, result.Revision)
	must.SliceLen(t, 1, follower.received())
}

func TestRefusalKeepsItsFaults(t *testing.T) {
	faults := []api.FieldFault{{Field: "writes[0]", Message: "no"}}
	scripted := newMember(t, answer(http.StatusBadRequest, operatorapi.Error{Code: operatorapi.ErrorInvalidBody, Faults: faults}))
	_, err := newClient(t, patient, scripted.address()).Transact(context.Background(), change)
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
	scripted := newMember(t, loseAnswer, answer(http.StatusOK, operatorapi.MemberReply{}))
	client := newClient(t, patient, scripted.address())
	_, err := client.ChangeMembers(context.Background(), operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: 1})
	must.ErrorIs(t, err, operator.ErrOutcomeUnknown)
	must.SliceLen(t, 1, scripted.received())
}

func TestReadIsRepeatedAndChangesNothing(t *testing.T) {
	scripted := newMember(t, loseAnswer, answer(http.StatusOK, operatorapi.Status{Term: 4}))
	status, err := newClient(t, patient, scripted.address()).Status(context.Background())
	must.NoError(t, err)
	must.Eq(t, 4, status.Term)

	lost := newMember(t, loseAnswer)
	_, err = newClient(t, impatient, lost.address()).Status(context.Background())
	must.ErrorIs(t, err, operator.ErrNotAccepted)
}

func TestObjectThatDoesNotExist(t *testing.T) {
	scripted := newMember(t, refuse(operatorapi.ErrorNotFound, http.StatusNotFound, ""))
	object, err := newClient(t, patient, scripted.address()).Object(context.Background(), api.Key{Kind: api.KindEngine, Name: "e"})
	must.NoError(t, err)
	must.Nil(t, object)
}

func TestWaitInForce(t *testing.T) {
	scripted := newMember(t,
		answer(http.StatusOK, operatorapi.InForce{Waiting: []string{"p"}}),
		answer(http.StatusOK, operatorapi.InForce{Done: true, Acknowledged: 1}))
	state, err := newClient(t, patient, scripted.address()).WaitInForce(context.Background(), 5)
	must.NoError(t, err)
	must.Eq(t, 1, state.Acknowledged)

	waiting := newMember(t, answer(http.StatusOK, operatorapi.InForce{Waiting: []string{"p"}}))
	ctx, cancel := context.WithTimeout(context.Background(), impatient)
	defer cancel()
	state, err = newClient(t, patient, waiting.address()).WaitInForce(ctx, 5)
	must.Error(t, err)
	must.Eq(t, []string{"p"}, state.Waiting)
}

func TestNoMembers(t *testing.T) {
	_, err := operator.New(operator.Config{})
	must.ErrorIs(t, err, operator.ErrNoMembers)
}

package operator_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
)

// unresponsiveAddress returns an address that neither accepts nor refuses connections, because
// its accept backlog is full.
func unresponsiveAddress(t *testing.T) string {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	must.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(socket, 0))
	name, err := syscall.Getsockname(socket)
	must.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// If a member accepts no connection, nothing was sent to it, so the membership change is
// safely sent to the next one.
func TestMembershipChangeSkipsUnresponsiveMember(t *testing.T) {
	serving := newScriptedMember(t, respond(http.StatusOK, operatorapi.MemberReply{}))
	client, err := operator.New(operator.Config{
		Members:        []string{unresponsiveAddress(t), serving.address()},
		AttemptTimeout: 400 * time.Millisecond,
	})
	must.NoError(t, err)
	_, err = client.ChangeMembers(context.Background(), operatorapi.MemberRequest{Action: operatorapi.MemberRemove, ID: 7})
	must.NoError(t, err)
	must.SliceLen(t, 1, serving.received())
}

// Adding a member is idempotent and is resent after a lost response. Every other step of
// a membership change is sent only once.
func TestOnlyMemberAdditionIsResent(t *testing.T) {
	for _, c := range []struct {
		action operatorapi.MemberAction
		want   error
		sends  int
	}{
		{operatorapi.MemberAdd, nil, 1},
		{operatorapi.MemberPromote, operator.ErrOutcomeUnknown, 0},
		{operatorapi.MemberRemove, operator.ErrOutcomeUnknown, 0},
	} {
		t.Run(string(c.action), func(t *testing.T) {
			losing, serving := newScriptedMember(t, dropConnection), newScriptedMember(t, respond(http.StatusOK, operatorapi.MemberReply{}))
			client, err := operator.New(operator.Config{Members: []string{losing.address(), serving.address()}})
			must.NoError(t, err)
			_, err = client.ChangeMembers(context.Background(), operatorapi.MemberRequest{Action: c.action, ID: 7})
			must.ErrorIs(t, err, c.want)
			must.SliceLen(t, c.sends, serving.received())
		})
	}
}

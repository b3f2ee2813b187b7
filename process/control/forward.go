package control

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/singleuse"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// maxForwardedResponseBytes bounds a response that is relayed from the leader.
const maxForwardedResponseBytes = 256 << 20

func newMemberClient() *http.Client {
	client := singleuse.NewClient(nil)
	client.Timeout = requestTimeout
	return client
}

// leaderHandler serves a request on the leader. body is the complete request body.
type leaderHandler func(w http.ResponseWriter, r *http.Request, body []byte)

// onLeader serves the request if this member leads, and forwards it to the leader otherwise. A
// request is forwarded at most once, so that two members that take each other for the leader do not
// forward it in a loop.
func (s *operatorServer) onLeader(serve leaderHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, ok := s.readBody(w, r)
		if !ok {
			return
		}
		current := s.member.group.Load()
		switch {
		case current == nil:
			writeNoQuorum(w, "the member has not found its group yet", "")
		case current.Leadership().Leads:
			serve(w, r, body)
		default:
			s.forward(w, r, body)
		}
	}
}

// readBody reads the request body. If that fails, it responds with an error and returns false.
func (s *operatorServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.member.config.Limits.MaxBodyBytes))
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, operatorapi.Error{Code: operatorapi.ErrorBodyTooLarge, Message: err.Error()})
		return nil, false
	}
	writeError(w, http.StatusBadRequest, operatorapi.Error{Code: operatorapi.ErrorInvalidBody, Message: "the body was cut short"})
	return nil, false
}

// leaderAddress returns the operator address of the leader. It is empty if no leader is known, or
// if this member is elected but not yet ready to lead.
func (s *operatorServer) leaderAddress() string {
	current := s.member.group.Load()
	leader := current.replica.Status().Leader
	if leader == raft.None || leader == s.member.id {
		return ""
	}
	if member, found := s.member.addresses.find(leader); found {
		return member.OperatorAddress
	}
	return ""
}

// forward relays a request to the leader, if one is known and the request was not forwarded
// already.
func (s *operatorServer) forward(w http.ResponseWriter, r *http.Request, body []byte) {
	address := s.leaderAddress()
	if address == "" || r.Header.Get(operatorapi.HeaderForwarded) != "" {
		writeNoQuorum(w, "this member does not lead", address)
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		writeError(w, http.StatusInternalServerError, operatorapi.Error{Code: operatorapi.ErrorInternal, Message: err.Error()})
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(operatorapi.HeaderForwarded, s.member.config.Name)
	response, err := s.forwarding.Do(request)
	if err != nil {
		writeForwardError(w, r, address, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxForwardedResponseBytes))
	if err != nil {
		writeForwardError(w, r, address, err)
		return
	}
	copyResponse(w, response, responseBody)
}

func copyResponse(w http.ResponseWriter, response *http.Response, body []byte) {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body) // the caller detects a truncated response by its Content-Length
}

// isDialError reports whether the connection for a request was never established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// writeForwardError responds when the request to the leader failed. A read, or a request whose
// connection was never established, has definitely changed nothing.
func writeForwardError(w http.ResponseWriter, r *http.Request, address string, err error) {
	if r.Method == http.MethodGet || isDialError(err) {
		writeNoQuorum(w, "the leader does not answer", address)
		return
	}
	writeOutcomeUnknown(w, address)
}

package upstream

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// ErrUnmatchedResponse reports a response or stream event that belongs to another request, attempt
// or incarnation than the expected one, or a response on a reused connection that does
// not identify its request.
var ErrUnmatchedResponse = errors.New("upstream: response or event does not match the request")

// Identity identifies one exchange. RequestID and Attempt are sent with the request and
// echoed in the response.
type Identity struct {
	RequestID string // unique to the exchange together with Attempt
	Attempt   uint32 // 0 for a call without attempts; no attempt header is sent then
	// Incarnation is the expected incarnation of stream events; 0 accepts that of the
	// first event. Response headers are not checked against it, since an engine that
	// has restarted refuses requests with its new incarnation in the response.
	Incarnation uint64
}

// setHeaders sets the identity in a request header.
func (i *Identity) setHeaders(header http.Header) {
	header.Set(engineapi.HeaderRequestID, i.RequestID)
	header.Del(engineapi.HeaderAttempt)
	if attempt := i.attemptHeader(); attempt != "" {
		header.Set(engineapi.HeaderAttempt, attempt)
	}
}

// attemptHeader returns the attempt as it appears in headers, empty if there is none.
func (i *Identity) attemptHeader() string {
	if i.Attempt == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(i.Attempt), 10)
}

// echoResult classifies the identity in a response header.
type echoResult uint8

const (
	echoMatch    echoResult = iota + 1 // identifies this exchange
	echoMissing                        // lacks the request ID or the attempt, and contradicts neither
	echoMismatch                       // identifies another exchange
)

// compareEcho compares a response header with the identity.
func (i *Identity) compareEcho(header http.Header) echoResult {
	id, attempt := header.Get(engineapi.HeaderRequestID), header.Get(engineapi.HeaderAttempt)
	switch {
	case id == i.RequestID && attempt == i.attemptHeader():
		return echoMatch
	case id != "" && id != i.RequestID, attempt != "" && attempt != i.attemptHeader():
		return echoMismatch
	}
	return echoMissing
}

// maxEchoingHosts is the maximum size of a hostSet. A further host empties the set first.
const maxEchoingHosts = 1 << 14

// hostSet holds hosts whose last response echoed the identity of its request. Removing
// a host is always safe and only costs an extra connection.
type hostSet struct {
	lock  sync.RWMutex
	hosts map[string]struct{}
}

func (s *hostSet) has(host string) bool {
	s.lock.RLock()
	defer s.lock.RUnlock()
	_, known := s.hosts[host]
	return known
}

func (s *hostSet) add(host string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.hosts == nil || len(s.hosts) >= maxEchoingHosts {
		s.hosts = map[string]struct{}{}
	}
	s.hosts[host] = struct{}{}
}

func (s *hostSet) remove(host string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.hosts, host)
}

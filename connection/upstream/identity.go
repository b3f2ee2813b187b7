package upstream

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

// ErrForeign means that an answer or a stream event belongs to another request,
// attempt or incarnation than the one that was asked for, or that an answer on
// a kept connection does not say to which it belongs.
var ErrForeign = errors.New("answer of another run")

// Identity names one exchange: what is sent carries it and the answer echoes it.
type Identity struct {
	RequestID string // never used for another exchange, unless Attempt differs
	Attempt   uint32 // 0 for a call that has no attempts: none is sent
	// Incarnation is that of a stream's events; 0 takes that of the first one.
	// Heads are not held against it: an engine that started anew refuses by
	// an answer that names its new incarnation.
	Incarnation uint64
}

// put names the identity in the header of a request.
func (i *Identity) put(header http.Header) {
	header.Set(engineapi.HeaderRequestID, i.RequestID)
	header.Del(engineapi.HeaderAttempt)
	if attempt := i.attempt(); attempt != "" {
		header.Set(engineapi.HeaderAttempt, attempt)
	}
}

// attempt is the attempt as headers name it.
func (i *Identity) attempt() string {
	if i.Attempt == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(i.Attempt), 10)
}

// echo is what an answer says of the exchange that it belongs to.
type echo uint8

const (
	echoWhole   echo = iota + 1 // names this exchange
	echoMissing                 // names none, or its request without the attempt
	echoOther                   // names another one
)

// echoed compares the answer's header with the identity.
func (i *Identity) echoed(header http.Header) echo {
	id, attempt := header.Get(engineapi.HeaderRequestID), header.Get(engineapi.HeaderAttempt)
	switch {
	case id == i.RequestID && attempt == i.attempt():
		return echoWhole
	case id != "" && id != i.RequestID, attempt != "" && attempt != i.attempt():
		return echoOther
	}
	return echoMissing
}

// maxEchoingHosts bounds what a hostSet holds.
const maxEchoingHosts = 1 << 14

// hostSet is the hosts whose last answer echoed its request's identity. To
// forget one is always safe: it costs a connection.
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

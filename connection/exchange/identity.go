package exchange

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Identity ties an answer to its request: the other side repeats the request's ID in a
// field of its answer. Where an answer stands on its connection proves nothing, since
// the other side may have sent one too many before it.
type Identity struct {
	Field string // in canonical form
	ID    string // of the request, sent with it by the caller of Do
	// Repeated says that the ID was sent to the address before: it does not tell the
	// answers to the two sends apart, so this one goes over a new connection.
	Repeated bool
}

// Misplaced is an answer that came where another one was due.
type Misplaced struct {
	Answered string // the ID that it names, empty for none
	Status   int
}

// maxNamedBytes bounds what is kept of an ID that the other side names.
const maxNamedBytes = 64

func newMisplaced(response *http.Response, identity Identity) *Misplaced {
	answered := response.Header.Get(identity.Field)
	return &Misplaced{Answered: answered[:min(len(answered), maxNamedBytes)], Status: response.StatusCode}
}

// Error says which request was answered.
func (m *Misplaced) Error() string {
	return fmt.Sprintf("exchange: answer of status %d to request %q", m.Status, m.Answered)
}

// owns reports whether an answer is the request's. One that names no request can only be
// its own where the connection has carried no other.
func (i Identity) owns(header http.Header, reused bool) bool {
	answered := header.Get(i.Field)
	if i.ID == "" || answered == "" {
		return !reused
	}
	return answered == i.ID
}

// sharesConnections reports whether the request may follow others on a connection, and
// others it. Only then can the answers be told apart: by an ID, and by heads that say
// where bodies end, which they do not in answers to HEAD.
func (r *Request) sharesConnections() bool {
	return r.Identity.ID != "" && r.Method != http.MethodHead
}

// Bounds of surplus answers that are passed over on one connection.
const (
	maxSurplus      = 4
	maxSurplusBytes = 1 << 20
)

// errNothingFollows says that no answer can come behind a surplus one.
var errNothingFollows = errors.New("exchange: nothing follows the answer to another request")

// readOwn reads heads until the one of the request's answer. An answer to a request that
// the connection carried before is surplus: the request's own comes behind it. What was
// passed over is returned as well. The error is a *Misplaced where no own answer follows.
func readOwn(from *conn, request *Request, reused bool) (*http.Response, []*Misplaced, error) {
	var surplus []*Misplaced
	for {
		response, err := readHead(from, request.Method)
		if err != nil {
			return nil, surplus, err
		}
		if request.Identity.owns(response.Header, reused) {
			return response, surplus, nil
		}
		misplaced := newMisplaced(response, request.Identity)
		surplus = append(surplus, misplaced)
		if !reused || misplaced.Answered == "" || len(surplus) > maxSurplus {
			return nil, surplus, misplaced
		}
		switch err := passOver(response); {
		case errors.Is(err, errNothingFollows):
			return nil, surplus, misplaced
		case err != nil:
			return nil, surplus, err
		}
	}
}

// passOver reads a surplus answer to its end. It waits for none that says by its head
// that its connection ends with it, or that it is too long.
func passOver(response *http.Response) error {
	if response.Close || response.ContentLength > maxSurplusBytes {
		return errNothingFollows
	}
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if count > maxSurplusBytes {
		return errNothingFollows
	}
	return nil
}

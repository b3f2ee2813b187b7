package exchange

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
)

// Identity ties an answer to its request: the other side repeats the request's ID in a
// field of its answer. Where an answer stands on its connection proves nothing, since
// the other side may have sent one too many before it.
type Identity struct {
	Field string // in canonical form
	ID    string // of the request, sent with it by the caller of Do
}

// Misplaced is an answer that came where another one was due.
type Misplaced struct {
	Answered string // the ID that it names, empty for none
	Status   int
}

// Error says which request was answered.
func (m *Misplaced) Error() string {
	return fmt.Sprintf("exchange: answer of status %d to request %q", m.Status, m.Answered)
}

// owns reports whether an answer is the request's. One that names no request can only be
// its own where the connection has carried no other.
func (i Identity) owns(header http.Header, reused bool) bool {
	if i.ID == "" {
		return !reused
	}
	answered := header.Get(i.Field)
	return answered == i.ID || answered == "" && !reused
}

// Bounds of surplus answers that are passed over on one connection.
const (
	maxSurplus      = 4
	maxSurplusBytes = 1 << 20
)

// readOwn reads heads until the one of the request's answer. An answer to a request that
// the connection carried before is surplus: the request's own comes behind it. What it
// passed over is returned with it. A *Misplaced says that no own answer can be found.
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
		misplaced := &Misplaced{Answered: response.Header.Get(request.Identity.Field), Status: response.StatusCode}
		surplus = append(surplus, misplaced)
		expected := reused && misplaced.Answered != "" && len(surplus) <= maxSurplus
		if !expected || !passOver(response) {
			return nil, surplus, misplaced
		}
	}
}

// passOver reads a body to its end and reports whether another answer can follow it.
func passOver(response *http.Response) bool {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	return err == nil && count <= maxSurplusBytes && !response.Close
}

// carriedIDs bounds the IDs that a connection remembers. A surplus answer to an older
// request cannot be told from one to a new request of the same ID.
const carriedIDs = 32

// carried remembers which requests a connection has carried last.
type carried struct {
	hashes [carriedIDs]uint64
	count  int
}

func (c *carried) note(id string) {
	c.hashes[c.count%carriedIDs] = xxhash.Sum64String(id)
	c.count++
}

func (c *carried) has(id string) bool {
	hash := xxhash.Sum64String(id)
	for _, known := range c.hashes[:min(c.count, carriedIDs)] {
		if known == hash {
			return true
		}
	}
	return false
}

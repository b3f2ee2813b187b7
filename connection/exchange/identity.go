package exchange

import "net/http"

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

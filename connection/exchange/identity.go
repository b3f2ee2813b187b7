package exchange

import "net/http"

// Identity matches a response to its request: the server echoes the request ID in a header
// field of its response. The order of responses on a connection is not sufficient, since
// the server may have sent a second response to an earlier request.
type Identity struct {
	Field string // header field in canonical form
	ID    string // request ID, which the caller of Do sends in the request header
	// Repeated means that the caller has sent the ID to the address before, at any time.
	// The responses to the two sends cannot be told apart by the ID, so this one uses a
	// new connection.
	Repeated bool
}

// matches reports whether a response belongs to the request. A response without an ID
// belongs to it only if the connection has carried no other request.
func (i Identity) matches(header http.Header, reused bool) bool {
	id := header.Get(i.Field)
	if i.ID == "" || id == "" {
		return !reused
	}
	return id == i.ID
}

// sharesConnections reports whether the request may use a connection that carries other
// requests before or after it. That requires an ID to match the responses, and response
// headers that determine where the body ends. The headers of a response to HEAD do not.
func (r *Request) sharesConnections() bool {
	return r.Identity.ID != "" && r.Method != http.MethodHead
}

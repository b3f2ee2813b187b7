package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// UnmatchedResponse is the error for an unmatched response: one that carries the ID of another
// request, or none, and arrived in place of a request's own response.
type UnmatchedResponse struct {
	RequestID string // request ID that the response carries, empty for none
	Status    int
	Header    http.Header
}

// maxRecordedIDBytes limits the recorded length of a request ID sent by the server.
const maxRecordedIDBytes = 64

func newUnmatchedResponse(response *http.Response, identity Identity) *UnmatchedResponse {
	id := response.Header.Get(identity.Field)
	return &UnmatchedResponse{RequestID: id[:min(len(id), maxRecordedIDBytes)], Status: response.StatusCode, Header: response.Header}
}

// Error returns a text with the status and the request ID of the response.
func (f *UnmatchedResponse) Error() string {
	return fmt.Sprintf("exchange: response with status %d has request ID %q", f.Status, f.RequestID)
}

// Limits of the responses to other requests that are skipped on one connection.
const (
	maxSkipped      = 4
	maxSkippedBytes = 1 << 20
)

// readMatching reads response headers until one matches the request. A response to an earlier
// request of the connection is surplus: a second response to a request that already got one.
// The request's own response follows it.
// Responses that do not match are always returned. If no matching response can follow,
// the error is the last of them. That response is then returned as well if its body has
// not been read, otherwise nil.
func readMatching(from *conn, request *Request, reused bool) (matched *http.Response, unmatched []*UnmatchedResponse, err error) {
	for {
		response, err := readHeader(from, request)
		if err != nil {
			return nil, unmatched, err
		}
		if request.Identity.matches(response.Header, reused) {
			return response, unmatched, nil
		}
		last := newUnmatchedResponse(response, request.Identity)
		unmatched = append(unmatched, last)
		surplus := reused && last.RequestID != "" && len(unmatched) <= maxSkipped
		if !surplus || !canHaveSuccessor(response) {
			return response, unmatched, last
		}
		from.beginPart()
		complete, err := discardBody(response)
		if err != nil {
			return nil, unmatched, err
		}
		if !complete {
			return nil, unmatched, last
		}
	}
}

// canHaveSuccessor reports whether, by its header, another response can follow this one.
func canHaveSuccessor(response *http.Response) bool {
	return !response.Close && response.ContentLength <= maxSkippedBytes
}

// discardBody discards a body and reports whether it ended within the limit.
func discardBody(response *http.Response) (complete bool, err error) {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	return count <= maxSkippedBytes, errors.WithStack(err)
}

// lateResponseTimeout limits how long a connection is still read after its exchange has failed
// or was canceled. A refusal arrives within a few milliseconds. The timeout also delays the
// server's notice of the cancellation.
const lateResponseTimeout = 50 * time.Millisecond

// interruptOrClose ends an exchange whose context has ended. If the response header has not been
// read yet and the caller wants late responses, it only interrupts the reader;
// closeAfterCancel then reads the connection for a short time and closes it.
func (c *conn) interruptOrClose(request *Request) {
	if request.OnLateResponse == nil || c.headerRead.Load() {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now())
}

// closeAfterCancel closes the connection of an exchange that was canceled before its
// response header arrived. A header that arrives within lateResponseTimeout is passed to
// OnLateResponse first.
func (c *conn) closeAfterCancel(request *Request) {
	if request.OnLateResponse == nil {
		_ = c.Conn.Close()
		return
	}
	go func() {
		defer func() { _ = c.Conn.Close() }() // the connection is not reused
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
		if next, err := readHeader(c, request); err == nil {
			request.OnLateResponse(next.StatusCode, next.Header)
		}
	}()
}

// closeAfterFailure closes a connection on which an exchange has failed. The request's own
// response may still follow the unmatched one, so the headers of the responses that arrive
// within lateResponseTimeout are passed to OnLateResponse.
func (c *conn) closeAfterFailure(request *Request, last *http.Response) {
	if last == nil || request.OnLateResponse == nil || !canHaveSuccessor(last) {
		_ = c.Conn.Close() // the error of the exchange is already reported
		return
	}
	go func() {
		defer func() { _ = c.Conn.Close() }() // the connection is not reused
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
		for range maxSkipped {
			if complete, err := discardBody(last); err != nil || !complete {
				return
			}
			next, err := readHeader(c, request)
			if err != nil {
				return
			}
			request.OnLateResponse(next.StatusCode, next.Header)
			if last = next; !canHaveSuccessor(last) {
				return
			}
		}
	}()
}

package exchange

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ForeignAnswer is the error for a response that names another request, or none, and
// arrived in place of a request's own response.
type ForeignAnswer struct {
	Answered string // the request ID that it names, empty for none
	Status   int
	Header   http.Header
}

// maxNamedBytes limits how much of a request ID sent by the server is kept.
const maxNamedBytes = 64

func newForeignAnswer(response *http.Response, identity Identity) *ForeignAnswer {
	answered := response.Header.Get(identity.Field)
	return &ForeignAnswer{Answered: answered[:min(len(answered), maxNamedBytes)], Status: response.StatusCode, Header: response.Header}
}

// Error returns a text that names the request that the response belongs to.
func (f *ForeignAnswer) Error() string {
	return fmt.Sprintf("exchange: response with status %d belongs to request %q", f.Status, f.Answered)
}

// Limits of the responses to other requests that are skipped on one connection.
const (
	maxForeign      = 4
	maxForeignBytes = 1 << 20
)

// readOwn reads response headers until one matches the request. A response to an earlier
// request of the connection is a surplus one, and the request's own response follows it. The skipped responses are always returned. If no matching
// response can follow, the error is the last skipped one, and the returned response is
// the same one, if its body is still unread.
func readOwn(from *conn, request *Request, reused bool) (own *http.Response, foreign []*ForeignAnswer, err error) {
	for {
		response, err := readHead(from, request.Method)
		if err != nil {
			return nil, foreign, err
		}
		if request.Identity.owns(response.Header, reused) {
			return response, foreign, nil
		}
		last := newForeignAnswer(response, request.Identity)
		foreign = append(foreign, last)
		surplus := reused && last.Answered != "" && len(foreign) <= maxForeign
		if !surplus || !mayBePassedOver(response) {
			return response, foreign, last
		}
		ended, err := passOver(response)
		if err != nil {
			return nil, foreign, err
		}
		if !ended {
			return nil, foreign, last
		}
	}
}

// mayBePassedOver reports whether, by its header, another response can follow this one.
func mayBePassedOver(response *http.Response) bool {
	return !response.Close && response.ContentLength <= maxForeignBytes
}

// passOver discards a body and reports whether it ended within the limit.
func passOver(response *http.Response) (ended bool, err error) {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes+1))
	return count <= maxForeignBytes, errors.WithStack(err)
}

// overhearTime limits how long a connection is still read after its exchange has failed
// or was canceled: a replica that refuses a request responds within a few milliseconds.
// The replica also learns by this much later that it may stop working on the request.
const overhearTime = 50 * time.Millisecond

// abandon ends an exchange whose context has ended. If the response header has not been
// read yet and the caller wants late responses, it only interrupts the reader;
// endAbandoned then reads the connection for a short time and closes it.
func (c *conn) abandon(request *Request) {
	if request.Overheard == nil || c.answered.Load() {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now())
}

// endAbandoned closes the connection of an exchange that was abandoned before its response
// header arrived, after passing a header that arrives within overhearTime to Overheard.
func (c *conn) endAbandoned(request *Request) {
	if request.Overheard == nil {
		_ = c.Conn.Close()
		return
	}
	go func() {
		defer func() { _ = c.Conn.Close() }() // the connection is not reused
		_ = c.Conn.SetReadDeadline(time.Now().Add(overhearTime))
		if next, err := readHead(c, request.Method); err == nil {
			request.Overheard(next.StatusCode, next.Header)
		}
	}()
}

// endAfter closes a connection on which an exchange has failed. The request's own response
// may immediately follow one to another request, so the headers of the responses that
// arrive within overhearTime are passed to Overheard.
func (c *conn) endAfter(request *Request, last *http.Response) {
	if last == nil || request.Overheard == nil || !mayBePassedOver(last) {
		_ = c.Conn.Close() // the error of the exchange is already reported
		return
	}
	go func() {
		defer func() { _ = c.Conn.Close() }() // the connection is not reused
		_ = c.Conn.SetReadDeadline(time.Now().Add(overhearTime))
		for range maxForeign {
			if ended, err := passOver(last); err != nil || !ended {
				return
			}
			next, err := readHead(c, request.Method)
			if err != nil {
				return
			}
			request.Overheard(next.StatusCode, next.Header)
			if last = next; !mayBePassedOver(last) {
				return
			}
		}
	}()
}

package exchange

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/pkg/errors"
)

// Request is sent exactly as given; only the framing of its body is added.
type Request struct {
	Method string
	Target string // request target as written in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Chunked sends the body with chunked transfer encoding instead of Content-Length.
	Chunked bool
	// BeforeSend, if not nil, is called once a connection is available, immediately before
	// the request is written, because the request may have become unsendable while the
	// connection was opened. An error ends the exchange before any byte is sent.
	BeforeSend func() error
	// OnLateResponse, if not nil, is called with each late response header: one that arrives
	// after the exchange has failed with a response to another request, or shortly after
	// ctx has ended. Such a header cannot be matched to the request reliably, but it comes
	// from the server and may, for example, contain Retry-After. It may be called after Do
	// has returned.
	OnLateResponse func(status int, header http.Header)
	// Identity matches the response to the request. A request without one and a HEAD
	// request use a dedicated connection that carries no other request.
	Identity Identity
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Sent is false only if it is certain that no byte was written.
	Sent bool
	// Connecting is true if no connection could be obtained.
	Connecting bool
	// Reused is true if the connection had carried other requests before; always false
	// with Connecting.
	Reused bool
	Cause  error
	// Unmatched holds the unmatched responses, those to other requests, that arrived instead.
	Unmatched []*UnmatchedResponse
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Response is a response whose header was received. Read reads its body, Close ends it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// EndsWithConnection is true if neither a length nor chunks mark the end of the body. Its end is
	// then that of the connection, which also ends when the server's process does.
	EndsWithConnection bool
	// Reused is true if the connection had carried other requests before.
	Reused bool
	// ConnOpenedAt is when the connection was opened, by the pool's clock: the process at the
	// remote end of the connection has been running at least since then.
	ConnOpenedAt time.Duration
	// Unmatched holds the unmatched responses that arrived first and were skipped.
	Unmatched []*UnmatchedResponse

	pool           *Pool
	conn           *conn
	body           io.ReadCloser
	bodyRead       bool // the body was read completely
	reusable       bool // the connection may carry another request
	requestWritten *atomic.Bool
	stopCancel     func() bool
	closed         atomic.Bool
	companion      *companion // nil without OpenCompanion
}

// Do writes the request once and returns the response that matches its identity,
// after reading the response header. Informational responses are skipped and
// redirects are not followed. The error is always a *Failure. Its cause is a
// *UnmatchedResponse if a response to another request arrived instead; otherwise it is the
// error of BeforeSend, of the connection, or of reading the header, which wraps
// responsecheck.ErrInvalid if the header is not that of a valid response. When ctx ends, the
// connection is closed. The caller must close the returned Response.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	used, reused, err := p.acquire(ctx, address, request)
	if err != nil {
		return nil, &Failure{Connecting: true, Cause: err}
	}
	if err := request.checkBeforeSend(); err != nil {
		_ = used.Conn.Close() // nothing was written on it
		return nil, &Failure{Reused: reused, Cause: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { used.interruptOrClose(request) })
	written, err := p.write(used, request)
	if err != nil {
		stopCancel()
		_ = used.Conn.Close() // nothing was written on it
		return nil, &Failure{Reused: reused, Cause: errors.WithStack(err)}
	}
	response, unmatched, err := readMatching(used, request, reused)
	if err != nil {
		if stopCancel() {
			used.closeAfterFailure(request, response)
		} else {
			used.closeAfterCancel(request)
		}
		return nil, &Failure{Sent: true, Reused: reused, Cause: errors.WithStack(err), Unmatched: unmatched}
	}
	used.headerRead.Store(true)
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,

		EndsWithConnection: response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead,
		Reused:             reused,
		ConnOpenedAt:       used.openedAt,
		Unmatched:          unmatched,
		pool:               p,
		conn:               used,
		body:               response.Body,
		reusable:           !response.Close && request.sharesConnections() && len(unmatched) == 0,
		requestWritten:     written,
		stopCancel:         stopCancel,
	}, nil
}

// checkBeforeSend calls BeforeSend, if set.
func (r *Request) checkBeforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// maxSyncWriteBytes is the largest request that is written before its response is read.
// Larger requests are written concurrently with reading, since the server may
// respond before it has read them.
const maxSyncWriteBytes = 4 << 10

// write sends the request. The returned flag becomes true once the request is
// completely written. An error means that no byte was written; any other write
// failure surfaces when the response is read, since the connection is a responsecheck.Conn.
func (p *Pool) write(to *conn, request *Request) (*atomic.Bool, error) {
	data := appendRequest(nil, request)
	written := &atomic.Bool{}
	if len(data) <= maxSyncWriteBytes {
		count, err := to.Conn.Write(data)
		written.Store(err == nil)
		if count == 0 {
			return written, err
		}
		return written, nil
	}
	go func() {
		_, err := to.Conn.Write(data)
		written.Store(err == nil)
	}()
	return written, nil
}

// appendRequest appends the encoded request. Header fields are sorted by name, so
// that equal requests have equal encodings.
func appendRequest(b []byte, request *Request) []byte {
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, request.Host...)
	b = append(b, "\r\n"...)
	names := make([]string, 0, len(request.Header))
	for name := range request.Header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for _, value := range request.Header[name] {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return appendBody(b, request)
}

// appendBody appends the framing headers, the end of the header and the body.
func appendBody(b []byte, request *Request) []byte {
	switch {
	case request.Chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(request.Body) > 0 {
			b = strconv.AppendInt(b, int64(len(request.Body)), 16)
			b = append(b, "\r\n"...)
			b = append(b, request.Body...)
			b = append(b, "\r\n"...)
		}
		return append(b, "0\r\n\r\n"...)
	case len(request.Body) > 0 || alwaysSendsLength(request.Method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(request.Body)), 10)
		b = append(b, "\r\n\r\n"...)
		return append(b, request.Body...)
	default:
		return append(b, "\r\n"...)
	}
}

// alwaysSendsLength reports whether requests of the method state their length even without a
// body.
func alwaysSendsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHeader reads the header of the next response to the request and checks it with
// responsecheck.Head. Informational ones are skipped.
func readHeader(from *conn, sent *Request) (*http.Response, error) {
	request := &http.Request{Method: sent.Method}
	from.beginHeader()
	defer from.endHeader()
	for interim := 0; ; interim++ {
		if interim > maxInterim {
			return nil, errTooManyInterim
		}
		from.beginPart()
		response, err := http.ReadResponse(from.reader, request)
		if err != nil {
			return nil, err
		}
		if !responsecheck.IsInterim(response.StatusCode) {
			return response, responsecheck.Head(response, sent.Header)
		}
	}
}

// Read reads the body. It returns io.EOF only after a complete body; a body that is
// delimited by the end of its connection is complete unless the connection was reset or may have been; see
// responsecheck.Conn. The framing between two parts of the body is limited like a header; see ErrEndless.
func (a *Response) Read(buffer []byte) (int, error) {
	a.conn.beginPart()
	count, err := a.body.Read(buffer)
	switch {
	case err == io.EOF:
		a.bodyRead = true
	case errors.Is(err, http.ErrLineTooLong):
		err = errFramingTooLarge
	}
	return count, err
}

// Close ends the exchange. It must not run concurrently with Read. The connection returns to
// the pool only if the response was read completely, the request was written completely,
// and no data follows the response.
func (a *Response) Close() {
	if !a.closed.CompareAndSwap(false, true) {
		return
	}
	notCanceled := a.stopCancel()
	used := a.conn
	if a.companion != nil {
		a.companion.close()
	}
	if !a.bodyRead {
		a.markEmptyBodyRead()
	}
	if !notCanceled || !a.bodyRead || !a.reusable || !a.requestWritten.Load() || used.reader.Buffered() > 0 {
		_ = used.Conn.Close() // further data would belong to no request
		return
	}
	limit := a.pool.config.IdleTimeout
	if announced, ok := keepAliveTimeout(a.Header); ok {
		limit = min(limit, announced-a.pool.config.IdleMargin)
	}
	if limit <= 0 {
		_ = used.Conn.Close() // the server would close it first
		return
	}
	used.usableUntil = a.pool.config.Clock() + limit
	a.pool.release(used)
}

// markEmptyBodyRead marks a body of length zero as read completely.
func (a *Response) markEmptyBodyRead() {
	if a.Length == 0 {
		a.bodyRead = true
	}
}

// keepAliveTimeout returns the idle timeout that the server announced in a Keep-Alive header.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, value := range header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(strings.TrimSpace(number)); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

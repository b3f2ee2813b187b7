// Package upstream is the HTTP client for engines and backends. It uses http.Transport
// instead of go-zero's httpc, because the path of tenants' requests must control what httpc
// decides by itself: which connections are pooled together, when a response body is read,
// and above all that no request is ever sent twice. Transport retries a request on a reused
// connection that broke, if the request counts as replayable. Requests sent here never
// count as replayable; see preventReplay.
//
// Transport also takes the next bytes on a connection for the response to the request
// written last. Pool.Do therefore returns a response only if it provably belongs to the
// request: either it echoes the identity of the request, or its connection is used for this
// request only.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/responsecheck"
)

// Config configures a Pool. Zero values select the defaults.
type Config struct {
	DialTimeout     time.Duration
	IdleTimeout     time.Duration // of pooled connections
	MaxIdlePerHost  int           // idle connections
	MaxHeaderBytes  int64         // per response
	ReadBufferSize  int           // bytes per connection
	WriteBufferSize int           // bytes per connection
	// OnUnmatchedResponse, if not nil, is called with each response that does not provably belong
	// to its request, and the address of the server that sent it.
	OnUnmatchedResponse func(address string, cause error)
}

// Default values of Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxIdlePerHost = 64
	DefaultMaxHeaderBytes = 64 << 10
	defaultBufferSize     = 4 << 10
	keepAliveInterval     = 5 * time.Second
	noIdleConns           = -1 // makes Transport close each connection after its response
)

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxIdlePerHost <= 0 {
		c.MaxIdlePerHost = DefaultMaxIdlePerHost
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.ReadBufferSize <= 0 {
		c.ReadBufferSize = defaultBufferSize
	}
	if c.WriteBufferSize <= 0 {
		c.WriteBufferSize = defaultBufferSize
	}
	if c.OnUnmatchedResponse == nil {
		c.OnUnmatchedResponse = func(string, error) {}
	}
	return c
}

// Pool is the connection pool for the endpoints of one service. Pools share no state.
type Pool struct {
	persistent responsecheck.Transport // reuses its connections
	singleUse  responsecheck.Transport // uses each connection for one request only
	// echoingHosts holds the hosts for which persistent is used.
	echoingHosts hostSet
	onUnmatched  func(address string, cause error)
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	persistent, singleUse := newTransport(config), newTransport(config)
	// DisableKeepAlives is not used because its "Connection: close" makes servers
	// close immediately, and a request body that they have not read then causes a
	// connection reset before the response is read.
	singleUse.MaxIdleConnsPerHost = noIdleConns
	return &Pool{persistent: persistent, singleUse: singleUse, onUnmatched: config.OnUnmatchedResponse}
}

func newTransport(config Config) responsecheck.Transport {
	dialer := &net.Dialer{Timeout: config.DialTimeout, KeepAlive: keepAliveInterval}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: responsecheck.NewConn(conn)}, nil
	}
	return responsecheck.Transport{Transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    config.MaxIdlePerHost,
		IdleConnTimeout:        config.IdleTimeout,
		MaxResponseHeaderBytes: config.MaxHeaderBytes,
		ReadBufferSize:         config.ReadBufferSize,
		WriteBufferSize:        config.WriteBufferSize,
		// Bodies are passed on in the encoding that the caller asked for.
		DisableCompression: true,
	}}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.persistent.CloseIdleConnections()
	p.singleUse.CloseIdleConnections()
}

// strippedHeaders are never passed on. The first two would make Transport treat a request
// as replayable; the others are hop-by-hop headers.
var strippedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHeaders removes the headers that must not be passed on to the next hop.
func StripHeaders(header http.Header) {
	for _, name := range strippedHeaders {
		header.Del(name)
	}
}

// opaqueBody hides the type of a body from net/http, so that it does not set GetBody.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// preventReplay modifies the request so that Transport does not replay it: its body is not nil,
// and it has no GetBody and no idempotency header. A request without a body gets an empty
// body of unknown length. Transport probes it and, for methods that usually have no body,
// sends none.
func preventReplay(request *http.Request) {
	StripHeaders(request.Header)
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = opaqueBody{eofReader{}}
		request.ContentLength = 0
		return
	}
	request.Body = plainBody{request.Body}
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// plainBody hides all methods of the caller's body but Read and Close.
type plainBody struct{ io.ReadCloser }

// requestConns tracks the connections used by one request.
type requestConns struct {
	lock   sync.Mutex
	conns  []requestConn
	reused bool // the connection had carried another request before
}

// requestConn is a connection used by a request.
type requestConn struct {
	*trackedConn
	number int // number of the exchange on the connection
}

// gotConn records a connection that Transport assigned to the request.
func (r *requestConns) gotConn(info httptrace.GotConnInfo) {
	conn, tracked := info.Conn.(*trackedConn)
	if !tracked {
		return
	}
	used := requestConn{trackedConn: conn, number: conn.beginExchange()}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.conns = append(r.conns, used)
	r.reused = r.reused || info.Reused
}

// usedReusedConn reports whether the request used a connection that had carried another
// request, a response to which may therefore still arrive.
func (r *requestConns) usedReusedConn() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.reused
}

// closeConns closes the connections of the exchange after its response.
func (r *requestConns) closeConns() {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, conn := range r.conns {
		conn.closeUnlessReused(conn.number)
	}
}

// abort closes every connection that the request used, so that no further write succeeds,
// and reports whether a byte was written on any of them.
func (r *requestConns) abort() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	wrote := false
	for _, conn := range r.conns {
		if conn.closeAndReportWritten() {
			wrote = true
		}
	}
	return wrote
}

// Failure is the error of an exchange without a response.
type Failure struct {
	// Wrote is false only if it is certain that no byte was written.
	Wrote bool
	Cause error
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Do sends the request once with the identity and returns the response after reading its
// header. Redirects are not followed. The error is always a *Failure; its cause is
// ErrUnmatchedResponse if the response does not provably belong to the request, and wraps
// responsecheck.ErrInvalid if it is not a valid one. The caller must
// close the response body. If it is closed before its end, the connection is closed. Do
// modifies the request's header; see StripHeaders.
func (p *Pool) Do(request *http.Request, identity Identity) (*http.Response, error) {
	exchange := &requestConns{}
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	preventReplay(request)
	identity.setHeaders(request.Header)
	host := request.URL.Host
	response, err := p.transportFor(p.echoingHosts.has(host)).RoundTrip(request)
	if err != nil {
		return nil, &Failure{Wrote: exchange.abort(), Cause: errors.WithStack(err)}
	}
	body := &responseBody{ReadCloser: response.Body, exchange: exchange}
	response.Body = body
	got := identity.compareEcho(response.Header)
	p.recordEcho(host, got)
	if err := verifyEcho(got, exchange.usedReusedConn(), &identity, response.Header); err != nil {
		exchange.abort() // further responses on this connection cannot be matched either
		_ = response.Body.Close()
		p.onUnmatched(host, err)
		return nil, &Failure{Wrote: true, Cause: err}
	}
	if got != echoMatch {
		body.closeConnAtEnd(response.ContentLength == 0)
	}
	return response, nil
}

func (p *Pool) transportFor(reuse bool) responsecheck.Transport {
	if reuse {
		return p.persistent
	}
	return p.singleUse
}

// recordEcho records whether connections to the host can be reused. A host that does not echo
// identities needs a new connection for each request. So does the first request to any host,
// since only a response shows whether it echoes.
func (p *Pool) recordEcho(host string, got echoResult) {
	switch got {
	case echoMatch:
		p.echoingHosts.add(host)
	case echoMissing:
		p.echoingHosts.remove(host)
	}
}

// verifyEcho returns ErrUnmatchedResponse unless the response provably belongs to the exchange. A
// response without an identity belongs to it if the connection has carried no other request.
func verifyEcho(got echoResult, reused bool, identity *Identity, header http.Header) error {
	if got == echoMatch || got == echoMissing && !reused {
		return nil
	}
	return errors.Wrapf(ErrUnmatchedResponse, "got %q/%q, want %q/%d",
		header.Get(engineapi.HeaderRequestID), header.Get(engineapi.HeaderAttempt), identity.RequestID, identity.Attempt)
}

// responseBody closes its connection immediately when the caller closes the body before the
// end. Transport might otherwise read the rest to keep the connection, and the engine would
// not notice the cancellation.
type responseBody struct {
	io.ReadCloser
	exchange   *requestConns
	ended      bool
	closeAtEnd bool // the connection is closed after this body
}

// closeConnAtEnd closes the connection after the body, or immediately if the body is empty, so
// that it carries no other request.
func (b *responseBody) closeConnAtEnd(empty bool) {
	b.closeAtEnd = true
	if empty {
		b.exchange.closeConns()
	}
}

// Read reads the body and records its end.
func (b *responseBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.ended = true
		if b.closeAtEnd {
			b.exchange.closeConns()
		}
	}
	return count, err
}

// Close closes the body, and also its connection unless the body was read completely.
func (b *responseBody) Close() error {
	switch {
	case !b.ended:
		b.exchange.abort()
	case b.closeAtEnd:
		b.exchange.closeConns()
	}
	return b.ReadCloser.Close()
}

// RefusedBeforeAdmission reports whether the response is an engine's explicit refusal before
// admission. It requires the identity in the response, with an attempt: Do has compared it,
// but accepts a response without one on a dedicated connection. Such a response does not
// prove a refusal, since a server may respond before it has read the request. For calls
// without attempts the result is always false.
func RefusedBeforeAdmission(response *http.Response) bool {
	header := response.Header
	named := header.Get(engineapi.HeaderRequestID) != "" && header.Get(engineapi.HeaderAttempt) != ""
	return named && response.StatusCode >= http.StatusBadRequest && header.Get(engineapi.HeaderAdmitted) == "no"
}

// Package upstream speaks HTTP to engines and back ends. It stands on
// net/http's Transport rather than on go-zero's httpc, because the data path
// must own what httpc decides by itself: which connections are pooled
// together, when an answer body is read, and above all that no request is ever
// sent twice. Transport resends a request by itself on a reused connection
// that died if it counts as replayable; nothing here does: see guard.
//
// Transport also takes whatever comes next on a connection for the answer to
// the request written last. Pool.Do therefore returns an answer only with a
// proof that it belongs to the request: the answer echoes the request's
// identity, or its connection has carried nothing else and never will.
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
)

// Config holds what a Pool is created with. Zero values take the defaults.
type Config struct {
	DialTimeout     time.Duration
	IdleTimeout     time.Duration // of pooled connections
	MaxIdlePerHost  int
	MaxHeaderBytes  int64
	ReadBufferSize  int
	WriteBufferSize int
	// Foreign is told of each answer that is not proven to be its request's, with the
	// address that it came from; nil for nobody.
	Foreign func(address string, cause error)
}

// Defaults of a Config.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxIdlePerHost = 64
	DefaultMaxHeaderBytes = 64 << 10
	defaultBufferSize     = 4 << 10
	keepAliveInterval     = 5 * time.Second
	noIdle                = -1 // Transport closes each connection after its answer
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
	if c.Foreign == nil {
		c.Foreign = func(string, error) {}
	}
	return c
}

// Pool is the connections of one service's lane. Pools share nothing.
type Pool struct {
	kept   *http.Transport // its connections carry one request after another
	single *http.Transport // its connections carry one request each
	// echoing is the hosts that the kept connections are used for.
	echoing hostSet
	foreign func(address string, cause error)
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	kept, single := newTransport(config), newTransport(config)
	// Not by DisableKeepAlives: its "Connection: close" makes servers close at
	// once, and a request body that they have not read then resets the answer.
	single.MaxIdleConnsPerHost = noIdle
	return &Pool{kept: kept, single: single, foreign: config.Foreign}
}

func newTransport(config Config) *http.Transport {
	dialer := &net.Dialer{Timeout: config.DialTimeout, KeepAlive: keepAliveInterval}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    config.MaxIdlePerHost,
		IdleConnTimeout:        config.IdleTimeout,
		MaxResponseHeaderBytes: config.MaxHeaderBytes,
		ReadBufferSize:         config.ReadBufferSize,
		WriteBufferSize:        config.WriteBufferSize,
		// The answer is passed on as the back end coded it.
		DisableCompression: true,
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.kept.CloseIdleConnections()
	p.single.CloseIdleConnections()
}

// strippedHeaders are never passed on. The first two would make the transport
// take a request for replayable; the others concern one connection only.
var strippedHeaders = []string{
	"Idempotency-Key", "X-Idempotency-Key",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHeaders removes the headers that must not be passed on.
func StripHeaders(header http.Header) {
	for _, name := range strippedHeaders {
		header.Del(name)
	}
}

// opaqueBody hides the type of a body from net/http, so that it sets no GetBody.
type opaqueBody struct{ io.Reader }

func (opaqueBody) Close() error { return nil }

// guard makes the request one that Transport does not replay: its body is not
// nil, it has no GetBody and no idempotency header. A bodyless request gets an
// empty body of unknown length, which Transport probes and, for the methods
// that usually have none, sends as no body.
func guard(request *http.Request) {
	StripHeaders(request.Header)
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = opaqueBody{eofReader{}}
		request.ContentLength = 0
		return
	}
	request.Body = guardedBody{request.Body}
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// guardedBody hides the methods of the caller's body.
type guardedBody struct{ io.ReadCloser }

// Exchange is one request on its way and what is known of it.
type Exchange struct {
	lock   sync.Mutex
	conns  []heldConn
	reused bool // the connection has carried another request before
}

// heldConn is a connection that an exchange was given.
type heldConn struct {
	*trackedConn
	number int // of the exchange on the connection
}

func (e *Exchange) gotConn(info httptrace.GotConnInfo) {
	conn, tracked := info.Conn.(*trackedConn)
	if !tracked {
		return
	}
	held := heldConn{trackedConn: conn, number: conn.mark()}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.conns = append(e.conns, held)
	e.reused = e.reused || info.Reused
}

// onReused reports whether the request went over a connection that has carried
// another one, whose answer can therefore still come.
func (e *Exchange) onReused() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.reused
}

// retire closes the exchange's connections after its answer.
func (e *Exchange) retire() {
	e.lock.Lock()
	defer e.lock.Unlock()
	for _, conn := range e.conns {
		conn.retire(conn.number)
	}
}

// abort seals every connection that the request was given and reports whether
// a byte was written on any of them.
func (e *Exchange) abort() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	wrote := false
	for _, conn := range e.conns {
		if conn.seal() {
			wrote = true
		}
	}
	return wrote
}

// Failure is an exchange that brought no answer.
type Failure struct {
	// Wrote is false when surely no byte was written.
	Wrote bool
	Cause error
}

// Error returns the cause's text.
func (f *Failure) Error() string { return f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Do sends the request once, under the identity, and returns the head of its
// answer. Redirects are answers like any other. A failure is always a *Failure;
// its cause is ErrForeign when an answer came that is not proven to be the
// request's. The caller closes the answer's body; a body closed before its end
// closes the connection.
func (p *Pool) Do(request *http.Request, identity Identity) (*http.Response, error) {
	exchange := &Exchange{}
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	guard(request)
	identity.put(request.Header)
	host := request.URL.Host
	response, err := p.transport(p.echoing.has(host)).RoundTrip(request)
	if err != nil {
		return nil, &Failure{Wrote: exchange.abort(), Cause: errors.WithStack(err)}
	}
	body := &answerBody{ReadCloser: response.Body, exchange: exchange}
	response.Body = body
	got := identity.echoed(response.Header)
	p.noteEcho(host, got)
	if err := verify(got, exchange.onReused(), &identity, response.Header); err != nil {
		exchange.abort() // nothing on this connection can be trusted any more
		_ = response.Body.Close()
		p.foreign(host, err)
		return nil, &Failure{Wrote: true, Cause: err}
	}
	if got != echoWhole {
		body.retireAfter(response.ContentLength == 0)
	}
	return response, nil
}

func (p *Pool) transport(keep bool) *http.Transport {
	if keep {
		return p.kept
	}
	return p.single
}

// noteEcho notes whether the host's connections can be kept. A host that does
// not echo pays with a connection for each request; every host pays that once,
// since only an answer tells whether it echoes.
func (p *Pool) noteEcho(host string, got echo) {
	switch got {
	case echoWhole:
		p.echoing.add(host)
	case echoMissing:
		p.echoing.remove(host)
	}
}

// verify returns ErrForeign unless the answer provably belongs to the exchange:
// an answer without a name does on a connection that has carried nothing else.
func verify(got echo, reused bool, identity *Identity, header http.Header) error {
	if got == echoWhole || got == echoMissing && !reused {
		return nil
	}
	return errors.Wrapf(ErrForeign, "got %q/%q, want %q/%d",
		header.Get(engineapi.HeaderRequestID), header.Get(engineapi.HeaderAttempt), identity.RequestID, identity.Attempt)
}

// answerBody closes the connection at once when it is closed before its end.
// Transport might otherwise read on to save the connection, and a cancelled
// engine would not notice.
type answerBody struct {
	io.ReadCloser
	exchange *Exchange
	ended    bool
	retiring bool // the connection carries nothing after this body
}

// retireAfter keeps the connection from carrying another request; empty says
// that the body has no bytes to be read first.
func (b *answerBody) retireAfter(empty bool) {
	b.retiring = true
	if empty {
		b.exchange.retire()
	}
}

// Read notes the end of the body.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.ended = true
		if b.retiring {
			b.exchange.retire()
		}
	}
	return count, err
}

// Close closes the body, and its connection unless the body was read to its end.
func (b *answerBody) Close() error {
	switch {
	case !b.ended:
		b.exchange.abort()
	case b.retiring:
		b.exchange.retire()
	}
	return b.ReadCloser.Close()
}

// SurelyRefused reports whether the answer is an engine's explicit refusal
// before admission. Do has compared the identity, but lets an answer without
// one pass on a connection of its own: that is no proof of a refusal, since a
// server may speak before it has read the request.
func SurelyRefused(response *http.Response) bool {
	header := response.Header
	named := header.Get(engineapi.HeaderRequestID) != "" && header.Get(engineapi.HeaderAttempt) != ""
	return named && response.StatusCode >= http.StatusBadRequest && header.Get(engineapi.HeaderAdmitted) == "no"
}

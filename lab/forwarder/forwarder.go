// Package forwarder is a plain HTTP forwarder, which knows nothing of engines, views or
// claims: the measure for what the data path costs.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

const (
	stopTimeout        = 5 * time.Second
	maxIdleConnections = 256
	maxBodyBytes       = 16 << 20
	copyBytes          = 32 << 10
)

// Run forwards every request to the target until ctx ends.
func Run(ctx context.Context, listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return labhttp.Serve(ctx, listener, newForwarder(target), stopTimeout, nil)
}

// forwarder sends each request once and passes each piece of the answer on as
// it comes.
type forwarder struct {
	target    string
	transport *http.Transport
	buffers   sync.Pool
}

func newForwarder(target string) *forwarder {
	created := &forwarder{target: target, transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
	}}
	created.buffers.New = func() any { return new([copyBytes]byte) }
	return created
}

// ServeHTTP implements http.Handler.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := f.transport.RoundTrip(f.request(r, body))
	if err != nil {
		http.Error(w, "target: "+err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	for name, values := range endToEnd(answer.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	if !f.pass(w, answer.Body) {
		panic(http.ErrAbortHandler) // the answer must not look whole
	}
}

func (f *forwarder) request(r *http.Request, body []byte) *http.Request {
	request := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: f.target, Opaque: r.RequestURI},
		Host:          r.Host,
		Header:        endToEnd(r.Header),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return request.WithContext(r.Context())
}

// pass copies the body and reports whether all of it was passed on.
func (f *forwarder) pass(w http.ResponseWriter, from io.Reader) bool {
	buffer := f.buffers.Get().(*[copyBytes]byte)
	defer f.buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		count, err := from.Read(buffer[:])
		if count > 0 {
			if _, failed := w.Write(buffer[:count]); failed != nil {
				return false
			}
			if controller.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// connectionFields belong to one connection and are not passed on (RFC 9110,
// section 7.6.1).
var connectionFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func endToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, name := range connectionFields {
		passed.Del(name)
	}
	return passed
}

// Package surplus plays an HTTP server that is out of step: on a kept connection
// it sends an answer too many, as its last one once more, after the next request
// has arrived and before the answer to it. Bytes that come that late look to a
// client like the answer to the request that it wrote last.
package surplus

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server serves a handler's answers out of step until it is closed.
type Server struct {
	listener net.Listener
	handler  http.Handler
	surplus  Surplus
	done     sync.WaitGroup
	sent     atomic.Int32
	accepted atomic.Int32

	lock        sync.Mutex
	closed      bool
	connections map[net.Conn]struct{}
}

// Surplus returns the answer too many that follows the connection's last answer, as it
// goes over the connection; empty for none.
type Surplus func(last []byte) []byte

// Again sends the last answer once more.
func Again(last []byte) []byte { return last }

// Start starts a Server on a free port of the loopback.
func Start(handler http.Handler, surplus Surplus) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "surplus: listen")
	}
	s := &Server{listener: listener, handler: handler, surplus: surplus, connections: map[net.Conn]struct{}{}}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns how many surplus answers were sent.
func (s *Server) Sent() int { return int(s.sent.Load()) }

// Accepted returns how many connections were accepted.
func (s *Server) Accepted() int { return int(s.accepted.Load()) }

// Close ends all connections and waits for them.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.closeConnections()
	s.done.Wait()
}

func (s *Server) closeConnections() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closed = true
	for conn := range s.connections {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		if !s.register(conn) {
			_ = conn.Close()
			return
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

// register returns false once the server is closed.
func (s *Server) register(conn net.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) unregister(conn net.Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, conn)
	_ = conn.Close()
}

// serve answers the connection's requests until its client closes it.
func (s *Server) serve(conn net.Conn) {
	defer s.unregister(conn)
	reader := bufio.NewReader(conn)
	var last []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// The client may go on, over another connection, once it has the surplus
		// answer: by then this request has been handled, so that the handler meets
		// requests in the order in which they are made.
		own := s.answer(request)
		if last != nil && !s.disturb(conn, last) {
			return
		}
		if _, err := conn.Write(own); err != nil || request.Close {
			return
		}
		last = own
	}
}

// disturb sends the surplus answer and reports whether the connection still takes bytes.
func (s *Server) disturb(conn net.Conn, last []byte) bool {
	surplus := s.surplus(last)
	if len(surplus) == 0 {
		return true
	}
	s.sent.Add(1)
	_, err := conn.Write(surplus)
	return err == nil
}

// answer returns the handler's answer as it goes over the connection.
func (s *Server) answer(request *http.Request) []byte {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, request)
	_, _ = io.Copy(io.Discard, request.Body) // the next request stands behind it
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	response.Close = request.Close
	var written bytes.Buffer
	_ = response.Write(&written) // a buffer takes everything
	return written.Bytes()
}

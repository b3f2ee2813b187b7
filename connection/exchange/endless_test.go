package exchange

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// sendEndlessly returns a script that writes begin and then the piece until the connection is closed, at
// once or a piece each 10 ms.
func sendEndlessly(begin, piece string, slowly bool) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := conn.Write([]byte(begin)); err != nil {
			return
		}
		if !slowly {
			piece = strings.Repeat(piece, 64)
		}
		for {
			if _, err := conn.Write([]byte(piece)); err != nil {
				return
			}
			if slowly {
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
}

// Guards against waiting until the deadline for parts of a response that never end.
func TestPartsWithoutEndAreCutOff(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		maxTime = 2 * time.Second
	)
	cases := map[string]struct {
		begin, piece string
		// first is true if another request uses the connection first.
		first bool
	}{
		"status line":     {"HTTP/1.1 200 ", "x", false},
		"field":           {head + "Padding: ", "x", false},
		"fields":          {head, "Padding: x\r\n", false},
		"interim heads":   {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"interim field":   {"HTTP/1.1 102 Processing\r\nPadding: ", "x", false},
		"chunk size":      {chunked, "0", false},
		"chunk extension": {chunked + "1;", "x", false},
		"trailer":         {chunked + "2\r\nok\r\n0\r\nPadding: ", "x", false},
		"surplus body":    {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000\r\n\r\n", "x", true},
		"surplus chunks":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
	}
	for name, test := range cases {
		for _, slowly := range []bool{false, true} {
			speed := " fast"
			if slowly {
				speed = " slowly"
			}
			t.Run(name+speed, func(t *testing.T) {
				t.Parallel()
				scripts := []func(net.Conn){sendEndlessly(test.begin, test.piece, slowly)}
				if test.first {
					scripts = append([]func(net.Conn){respond(okResponse)}, scripts...)
				}
				server := newScriptedServer(t, scripts...)
				pool := newPool(t)
				if test.first {
					_, err := fetch(t, pool, server.address(), newGet("/"))
					must.NoError(t, err)
				}
				begun := time.Now()
				_, err := fetch(t, pool, server.address(), newGet("/"))
				must.Error(t, err)
				must.Less(t, maxTime, time.Since(begun))
			})
		}
	}
}

// Guards against taking a response for one without end that arrives slowly, after a long wait, or in one
// piece after the process was suspended.
func TestSlowResponsesAreComplete(t *testing.T) {
	const pieces = 60
	inPieces := func(begin, piece, end string, wait time.Duration) func(net.Conn) {
		return func(conn net.Conn) {
			for _, text := range append([]string{begin}, strings.Split(strings.Repeat(piece+" ", pieces), " ")...) {
				_, _ = conn.Write([]byte(text))
				time.Sleep(wait)
			}
			_, _ = conn.Write([]byte(end))
			_ = conn.Close()
		}
	}
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
	for name, script := range map[string]func(net.Conn){
		"length":       inPieces(head+"Content-Length: 60\r\n\r\n", "x", "", 15*time.Millisecond),
		"chunks":       inPieces(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "0\r\n\r\n", 15*time.Millisecond),
		"close":        inPieces(head+"\r\n", "x", "", 15*time.Millisecond),
		"interim head": inPieces("HTTP/1.1 102 Processing\r\n\r\n", "", head+"Content-Length: 60\r\n\r\n"+strings.Repeat("x", pieces), 15*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newScriptedServer(t, script)
			body, err := fetch(t, newPool(t), server.address(), newGet("/"))
			must.NoError(t, err)
			must.Eq(t, strings.Repeat("x", pieces), body)
		})
	}
}

// Guards against a request that waits for the rest of a refusal that does not end.
func TestDiscardIsLimited(t *testing.T) {
	const (
		head   = "HTTP/1.1 503 Busy\r\nId: {id}\r\n"
		limit  = 1 << 10
		within = 100 * time.Millisecond
	)
	for name, test := range map[string]struct {
		script  func(net.Conn)
		endless bool
	}{
		"length":         {respond(head + "Content-Length: 2\r\n\r\nno"), false},
		"chunks":         {respond(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"), false},
		"close":          {respondAndClose(head + "\r\nno"), false},
		"broken off":     {respondAndClose(head + "Content-Length: 10\r\n\r\nno"), false},
		"endless":        {sendEndlessly(head+"\r\n", "x", false), true},
		"endless, slow":  {sendEndlessly(head+"\r\n", "x", true), true},
		"endless chunks": {sendEndlessly(head+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true), true},
	} {
		t.Run(name, func(t *testing.T) {
			server := newScriptedServer(t, test.script)
			pool := newPool(t)
			response, err := pool.Do(t.Context(), server.address(), newGet("/"))
			must.NoError(t, err)
			begun := time.Now()
			err = response.Discard(limit, within)
			must.Eq(t, test.endless, errors.Is(err, ErrEndless))
			must.Less(t, time.Second, time.Since(begun))
			response.Close()
			if !test.endless && name != "close" && name != "broken off" {
				must.True(t, pool.HasIdle(server.address()))
			}
		})
	}
}

// A piece arrives at the end of a suspension: many reads of data that has arrived must not count as slow.
func TestPaceAfterASuspension(t *testing.T) {
	var rate ArrivalRate
	must.NoError(t, rate.Note(time.Second, 10))
	for range 3 {
		must.NoError(t, rate.Note(time.Hour, readBufferBytes))
	}
	for i := range minPartReads {
		err := rate.Note(time.Hour+time.Duration(i)*time.Second, 10)
		must.Eq(t, rate.reads >= minPartReads, errors.Is(err, ErrEndless))
	}
}

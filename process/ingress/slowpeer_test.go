package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowPeerVariable makes the test program serve as the other side of a proxy under test: a replica and slow
// callers in a process of their own, so that the memory of the test's process is the proxy's.
const slowPeerVariable = "INGRESS_TEST_SLOW_PEER"

// slowCallerBuffer is the receive buffer of slow callers. It is small, so that what they do not read
// stays with the proxy.
const slowCallerBuffer = 4 << 10

// runSlowPeer is the main function of the process that startSlowPeer starts. Each line of its input is a
// command, each line of its output the reply. It returns once its input has ended.
func runSlowPeer() error {
	peer := &slowPeer{}
	server := httptest.NewServer(peer)
	fmt.Println("address", server.Listener.Addr())
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		var count int
		var address, target string
		var perSecond int
		switch command, _, _ := strings.Cut(lines.Text(), " "); command {
		case "open":
			if _, err := fmt.Sscanf(lines.Text(), "open %d %s %s %d", &count, &address, &target, &perSecond); err != nil {
				return err
			}
			for number := range count {
				if err := peer.open(address, target, number, perSecond); err != nil {
					return err
				}
			}
			fmt.Println("opened", count)
		case "state":
			fmt.Println("state", peer.running.Load(), peer.begun.Load())
		}
	}
	return lines.Err()
}

// slowPeer is a replica, and the callers of a proxy that read slowly.
type slowPeer struct {
	running, begun atomic.Int64 // requests at the replica
}

// ServeHTTP streams without end, or sends a long answer with a length.
func (p *slowPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.begun.Add(1)
	p.running.Add(1)
	defer p.running.Add(-1)
	writeGenuine(w, r)
	switch {
	case strings.HasPrefix(r.URL.Path, "/safe/quick"):
		_, _ = io.WriteString(w, "quick")
	case strings.HasPrefix(r.URL.Path, "/safe/"):
		w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
		piece := []byte(strings.Repeat("x", 4<<10))
		for range longAnswerBytes / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	default:
		w.Header().Set("Content-Type", "text/event-stream")
		for id := 1; ; id++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("y", 1000)); err != nil {
				return
			}
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	}
}

// longAnswerBytes is the length of a long answer, more than the buffers of a slow caller's connection.
const longAnswerBytes = 8 << 20

// dialSlowly sends a request on a connection of its own with a small receive buffer. protocol is HTTP/1.1 or
// HTTP/1.0.
func dialSlowly(address, target, protocol, id string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowCallerBuffer)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: a.example\r\n%s: %s\r\n\r\n", target, protocol, testID, id)
	return conn, err
}

// open sends a request on a connection of its own and reads the answer at the given rate; at 0 it is
// not read.
func (p *slowPeer) open(address, target string, number, perSecond int) error {
	conn, err := dialSlowly(address, target, "HTTP/1.1", fmt.Sprint("slow-", number))
	if err != nil {
		return err
	}
	go func() {
		const interval = 200 * time.Millisecond
		piece := make([]byte, max(perSecond/int(time.Second/interval), 1))
		for {
			time.Sleep(interval)
			if perSecond == 0 {
				continue
			}
			if _, err := conn.Read(piece); err != nil {
				_ = conn.Close()
				return
			}
		}
	}()
	return nil
}

// slowPeerProcess is a running runSlowPeer.
type slowPeerProcess struct {
	t       *testing.T
	address string // of its replica
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Scanner
}

// stop ends the process, and with it its connections. It may be called more than once.
func (p *slowPeerProcess) stop() {
	_ = p.input.Close()
	_ = p.command.Wait()
}

// startSlowPeer starts a process with a replica and slow callers, which ends with the test.
func startSlowPeer(t *testing.T) *slowPeerProcess {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), slowPeerVariable+"=1")
	input, err := command.StdinPipe()
	must.NoError(t, err)
	output, err := command.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, command.Start())
	peer := &slowPeerProcess{t: t, command: command, input: input, output: bufio.NewScanner(output)}
	t.Cleanup(peer.stop)
	_, err = fmt.Sscanf(peer.line(), "address %s", &peer.address)
	must.NoError(t, err)
	return peer
}

func (p *slowPeerProcess) line() string {
	p.t.Helper()
	must.True(p.t, p.output.Scan(), must.Sprint("the peer has ended"))
	return p.output.Text()
}

// open makes the peer's callers send requests; see slowPeer.open.
func (p *slowPeerProcess) open(count int, address, target string, perSecond int) {
	p.t.Helper()
	_, err := fmt.Fprintf(p.input, "open %d %s %s %d\n", count, address, target, perSecond)
	must.NoError(p.t, err)
	must.Eq(p.t, fmt.Sprint("opened ", count), p.line())
}

// peerState is what the peer's replica has seen.
type peerState struct {
	running, begun int // requests at the replica
}

func (p *slowPeerProcess) state() peerState {
	p.t.Helper()
	_, err := fmt.Fprintln(p.input, "state")
	must.NoError(p.t, err)
	var state peerState
	_, err = fmt.Sscanf(p.line(), "state %d %d", &state.running, &state.begun)
	must.NoError(p.t, err)
	return state
}

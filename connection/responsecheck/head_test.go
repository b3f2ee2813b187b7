package responsecheck

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against responses of servers in trouble that net/http accepts and a caller would take for an answer.
func TestHeadAcceptsValidResponsesOnly(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		head   string
		accept string // Accept-Encoding of the request
		want   error
	}{
		{name: "plain", head: ok},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\n"},
		{name: "largest status", head: "HTTP/1.1 599 Odd\r\n"},
		{name: "all characters of a token", head: ok + "!#$%&'*+-.^_`|~09az: 1\r\n"},
		{name: "folded line", head: ok + "X-Odd: 1\r\n 2\r\n"},
		{name: "status 000", head: "HTTP/1.1 000 Odd\r\n", want: errStatus},
		{name: "status 099", head: "HTTP/1.1 099 Odd\r\n", want: errStatus},
		{name: "status with a sign", head: "HTTP/1.1 +20 Odd\r\n", want: errStatus},
		{name: "Switching Protocols", head: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n", want: errStatus},
		{name: "status 600", head: "HTTP/1.1 600 Odd\r\n", want: errStatus},
		{name: "status 999", head: "HTTP/1.1 999 Odd\r\n", want: errStatus},
		{name: "HTTP/2", head: "HTTP/2.0 200 OK\r\n", want: errVersion},
		{name: "HTTP/0.9", head: "HTTP/0.9 200 OK\r\n", want: errVersion},
		{name: "blank in a name", head: ok + "X Odd: 1\r\n", want: errField},
		{name: "blank before the colon", head: ok + "X-Odd : 1\r\n", want: errField},
		{name: "blank before the colon of the length", head: ok + "Content-Length : 5\r\n", want: errField},
		{name: "blank before the colon of the transfer coding", head: ok + "Transfer-Encoding : chunked\r\n", want: errField},
		{name: "coding nobody asked for", head: ok + "Content-Encoding: gzip\r\n", want: errEncoding},
		{name: "one coding of two", head: ok + "Content-Encoding: gzip, br\r\n", accept: "gzip", want: errEncoding},
		{name: "one coding of two, in two lines", head: ok + "Content-Encoding: gzip\r\nContent-Encoding: br\r\n", accept: "gzip", want: errEncoding},
		{name: "empty coding", head: ok + "Content-Encoding:\r\n", accept: "*", want: errEncoding},
		{name: "coding that is ruled out", head: ok + "Content-Encoding: gzip\r\n", accept: "*, gzip;q=0", want: errEncoding},
		{name: "all others are ruled out", head: ok + "Content-Encoding: gzip\r\n", accept: "br, *; q=0.0", want: errEncoding},
		{name: "another coding asked for", head: ok + "Content-Encoding: gzip\r\n", accept: "identity", want: errEncoding},
		{name: "coding asked for", head: ok + "Content-Encoding: gzip\r\n", accept: "br;q=0.1, GZIP ; q=1.0"},
		{name: "two codings asked for", head: ok + "Content-Encoding: gzip, br\r\n", accept: "br, gzip"},
		{name: "any coding asked for", head: ok + "Content-Encoding: gzip\r\n", accept: "*;q=0.5"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.head+"\r\n")), nil)
			must.NoError(t, err, must.Sprint("net/http does not accept it either"))
			request := http.Header{}
			if test.accept != "" {
				request.Set("Accept-Encoding", test.accept)
			}
			err = Head(response, request)
			if test.want == nil {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, test.want)
			must.ErrorIs(t, err, ErrInvalid)
		})
	}
}

func TestIsInterim(t *testing.T) {
	for status, want := range map[int]bool{0: false, 20: false, 99: false, 100: true, 101: false, 103: true, 199: true, 200: false, 600: false} {
		must.Eq(t, want, IsInterim(status), must.Sprint(status))
	}
}

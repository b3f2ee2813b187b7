package orders

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/surplus"
	"github.com/landingtrail/landingtrail/version/api"
)

// foreignCode is the result code of a surplus response.
const foreignCode = "foreign"

// surplusEngine starts an engine that echoes the request ID of each call and accepts it. On a
// reused connection it first sends a surplus response with wrongHeader.
func surplusEngine(t *testing.T, wrongHeader string) *surplus.Server {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engineapi.EchoCall(w.Header(), r.Header)
		_, _ = io.WriteString(w, reply("accepted"))
	})
	server, err := surplus.Start(handler, func([]byte) []byte { return rawReply(wrongHeader, foreignCode) })
	must.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func reply(code string) string {
	return fmt.Sprintf(`{"code":%q,"state":{"engine":%q,"incarnation":"1"}}`, code, code)
}

func rawReply(header, code string) []byte {
	body := reply(code)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// A response that carries the ID of another call, or none, must be an error. If the reply to
// one order or void is taken for that to the next one to the same engine, a fence that the
// engine has not received counts as confirmed.
func TestSurplusReplyIsRejected(t *testing.T) {
	cases := map[string]string{
		"of another call": engineapi.HeaderRequestID + ": another\r\n",
		"of no call":      "",
	}
	for name, wrongHeader := range cases {
		t.Run(name, func(t *testing.T) {
			engine := surplusEngine(t, wrongHeader)
			client := NewClient(time.Second)
			defer client.Close()
			for range 6 {
				got, err := client.Send(t.Context(), engine.Address(), api.Order{Engine: "narrator-1"})
				must.NotEq(t, foreignCode, string(got.Code))
				if err != nil {
					must.ErrorIs(t, err, ErrNoResponse)
				}
				got, err = client.Void(t.Context(), engine.Address(), engineapi.VoidRequest{})
				must.NotEq(t, foreignCode, string(got.Code))
				if err != nil {
					must.ErrorIs(t, err, ErrNoResponse)
				}
			}
			must.Positive(t, engine.Sent())
		})
	}
}

package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestForwarderPassesRequestsAndAnswersOn(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+" "+string(body))
	}))
	defer target.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, address, strings.TrimPrefix(target.URL, "http://")) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var response *http.Response
	for {
		if response, err = client.Post("http://"+address+"/a/b", "text/plain", strings.NewReader("c")); err == nil {
			break
		}
	}
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, "POST /a/b c", string(body))
	stop()
	must.NoError(t, <-ended)
}

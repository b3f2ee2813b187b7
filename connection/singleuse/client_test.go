package singleuse

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/landingtrail/landingtrail/lab/surplus"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// get sends a GET request and returns the status and body of the response.
func get(t *testing.T, client *http.Client, address string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	must.NoError(t, err)
	response, err := client.Do(request)
	must.NoError(t, err)
	defer func() { must.NoError(t, response.Body.Close()) }()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, string(body)
}

// A request must not return the response to another one. This happens on a persistent
// connection when the server sends a surplus response after the next request was
// written. The server numbers its responses, and each request must get its own number.
func TestEachRequestGetsOwnResponse(t *testing.T) {
	var calls atomic.Int32
	server, err := surplus.Start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, calls.Add(1))
	}), surplus.Again)
	must.NoError(t, err)
	t.Cleanup(server.Close)
	client := NewClient(nil)
	for number := range 5 {
		_, body := get(t, client, server.Address())
		must.Eq(t, fmt.Sprint(number+1), body)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	server := httptest.NewServer(http.RedirectHandler("/elsewhere", http.StatusTemporaryRedirect))
	t.Cleanup(server.Close)
	status, _ := get(t, NewClient(nil), server.Listener.Addr().String())
	must.Eq(t, http.StatusTemporaryRedirect, status)
}

package admin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
)

func TestServer(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "answer"}, func() float64 { return 42 }))
	state := Readiness{Reason: "starting"}
	server, err := Listen("test", "127.0.0.1:0", registry, func() Readiness { return state }, log.NewNopLogger())
	must.NoError(t, err)
	t.Cleanup(server.Close)

	get := func(path string) (int, string) {
		response, err := http.Get("http://" + server.Addr().String() + path)
		must.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		return response.StatusCode, string(body)
	}
	status, body := get(PathHealth)
	must.Eq(t, http.StatusOK, status, must.Sprint("health must be 200 while not ready"))
	var read Readiness
	must.NoError(t, json.Unmarshal([]byte(body), &read))
	must.Eq(t, state, read)
	status, _ = get(PathReady)
	must.Eq(t, http.StatusServiceUnavailable, status)
	state = Readiness{Ready: true}
	status, _ = get(PathReady)
	must.Eq(t, http.StatusOK, status)
	status, body = get(PathMetrics)
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, "answer 42")
	status, _ = get("/other")
	must.Eq(t, http.StatusNotFound, status)
}

func TestInvalidRequestLeavesServerRunning(t *testing.T) {
	server, err := Listen("test", "127.0.0.1:0", prometheus.NewRegistry(), func() Readiness { return Readiness{Ready: true} }, log.NewNopLogger())
	must.NoError(t, err)
	t.Cleanup(server.Close)
	conn, err := net.DialTimeout("tcp", server.Addr().String(), time.Second)
	must.NoError(t, err)
	_, err = conn.Write([]byte("\x00\x01 no HTTP at all\r\n\r\n"))
	must.NoError(t, err)
	_, err = io.ReadAll(conn)
	must.NoError(t, err, must.Sprint("the server must close the connection"))
	response, err := http.Get("http://" + server.Addr().String() + PathReady)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
}

func TestAddressInUse(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	_, err = Listen("test", occupied.Addr().String(), prometheus.NewRegistry(), nil, log.NewNopLogger())
	must.ErrorIs(t, err, ErrListen)
}

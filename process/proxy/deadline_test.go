package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/request/retry"
)

const pathTile = "/services/tiles/frame/1"

// The deadline has not passed, but the time left is less than the margin that the
// proxy reserves for itself. The backend must not be called, and the failure must
// not be reported as a client error.
func TestDeadlineBelowMarginIsRefused(t *testing.T) {
	backend := newFakeBackend(t)
	config := fastConfig()
	config.Margin = retry.Margin{Minimum: time.Hour}
	f := startFleet(t, config, nil, backend.server)
	answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
	must.Eq(t, http.StatusGatewayTimeout, answer.status)
	must.Eq(t, codeDeadlineTooShort, answer.code())
	must.Eq(t, "no", answer.runState())
	must.NotEq(t, "", answer.header.Get("Retry-After"))
	must.Zero(t, backend.runs.Load())
}

// The deadline passes while a backend is sending its response.
func TestDeadlineDuringBackendResponse(t *testing.T) {
	const left = time.Second
	send := func(t *testing.T, script http.HandlerFunc) (answer *reply, took time.Duration) {
		backend := newFakeBackend(t)
		backend.script = script
		f := startFleet(t, fastConfig(), nil, backend.server)
		began := time.Now()
		answer = f.do(http.MethodGet, pathTile, "", HeaderClass, "frame", HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
		return answer, time.Since(began)
	}
	t.Run("before the first byte", func(t *testing.T) {
		t.Parallel()
		answer, _ := send(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Tile", "1")
			_ = http.NewResponseController(w).Flush()
			waitForDisconnect(r)
		})
		must.Eq(t, http.StatusGatewayTimeout, answer.status)
		must.Eq(t, codeDeadlineExceeded, answer.code())
		must.Eq(t, "yes", answer.runState())
		must.Eq(t, "", answer.header.Get("X-Tile"))
	})
	t.Run("after part of the body", func(t *testing.T) {
		t.Parallel()
		part := strings.Repeat("x", 4<<10)
		answer, took := send(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			waitForDisconnect(r)
		})
		must.Eq(t, http.StatusOK, answer.status)
		must.Error(t, answer.err, must.Sprint("a partial response must not look complete"))
		must.Eq(t, part, answer.body)
		must.GreaterEq(t, left, took, must.Sprint("the response ended before its deadline"))
	})
}

// A backend drops the connection before the first byte of the body. Nothing has
// been sent to the caller, so the request must be retried on another backend, or
// fail with an error if there is none.
func TestBackendDropsConnectionBeforeFirstByte(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Tile", "broken")
		_ = http.NewResponseController(w).Flush()
		dropConnection(w)
	}
	t.Run("one backend", func(t *testing.T) {
		var asked atomic.Int32
		script := func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == 1 {
				broken(w, r)
			}
			_, _ = w.Write([]byte("whole"))
		}
		first, second := newFakeBackend(t), newFakeBackend(t)
		first.script, second.script = script, script
		f := startFleet(t, fastConfig(), nil, first.server, second.server)
		answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
		must.NoError(t, answer.err)
		must.Eq(t, http.StatusOK, answer.status)
		must.Eq(t, "whole", answer.body)
		must.Eq(t, 1, first.runs.Load())
		must.Eq(t, 1, second.runs.Load())
		must.Eq(t, "", answer.header.Get("X-Tile"))
	})
	t.Run("all backends", func(t *testing.T) {
		backend := newFakeBackend(t)
		backend.script = broken
		f := startFleet(t, fastConfig(), nil, backend.server)
		answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, codeUpstream, answer.code())
		must.Eq(t, "yes", answer.runState())
		must.Eq(t, "", answer.header.Get("X-Tile"))
		must.Eq(t, 1, backend.runs.Load())
	})
	t.Run("unsafe method", func(t *testing.T) {
		backend := newFakeBackend(t)
		backend.script = broken
		f := startFleet(t, fastConfig(), nil, backend.server)
		answer := f.do(http.MethodPost, pathTile, "body", HeaderClass, "frame")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, "yes", answer.runState())
		must.Eq(t, 1, backend.runs.Load())
	})
}

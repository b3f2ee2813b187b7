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

// What is left is less than the proxy keeps for itself, although the deadline has not
// passed yet: the back end is not asked, and the request is not at fault.
func TestNothingLeftForTheBackEnd(t *testing.T) {
	backend := newFakeBackend(t)
	config := quick()
	config.Margin = retry.Margin{Least: time.Hour}
	f := start(t, config, nil, backend.server)
	answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
	must.Eq(t, http.StatusGatewayTimeout, answer.status)
	must.Eq(t, codeDeadlineShort, answer.code())
	must.Eq(t, "no", answer.ran())
	must.NotEq(t, "", answer.header.Get("Retry-After"))
	must.Zero(t, backend.runs.Load())
}

// The deadline passes while a back end's answer comes.
func TestDeadlineInAnAnswerOfABackEnd(t *testing.T) {
	const left = time.Second
	ask := func(t *testing.T, script http.HandlerFunc) (answer *reply, took time.Duration) {
		backend := newFakeBackend(t)
		backend.script = script
		f := start(t, quick(), nil, backend.server)
		began := time.Now()
		answer = f.do(http.MethodGet, pathTile, "", HeaderClass, "frame", HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
		return answer, time.Since(began)
	}
	t.Run("before its first byte", func(t *testing.T) {
		t.Parallel()
		answer, _ := ask(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Tile", "1")
			_ = http.NewResponseController(w).Flush()
			hang(r)
		})
		must.Eq(t, http.StatusGatewayTimeout, answer.status)
		must.Eq(t, codeDeadlineExceeded, answer.code())
		must.Eq(t, "yes", answer.ran())
		must.Eq(t, "", answer.header.Get("X-Tile"))
	})
	t.Run("after a part", func(t *testing.T) {
		t.Parallel()
		part := strings.Repeat("x", 4<<10)
		answer, took := ask(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			hang(r)
		})
		must.Eq(t, http.StatusOK, answer.status)
		must.Error(t, answer.err, must.Sprint("a part must not look whole"))
		must.Eq(t, part, answer.body)
		must.GreaterEq(t, left, took, must.Sprint("it broke before its deadline"))
	})
}

// A back end breaks its answer off before the first byte: the caller has been given
// nothing, so another one can be asked, and if none can, the caller is told.
func TestBackEndBreaksOffBeforeTheFirstByte(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Tile", "broken")
		_ = http.NewResponseController(w).Flush()
		drop(w)
	}
	t.Run("once", func(t *testing.T) {
		var asked atomic.Int32
		script := func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == 1 {
				broken(w, r)
			}
			_, _ = w.Write([]byte("whole"))
		}
		first, second := newFakeBackend(t), newFakeBackend(t)
		first.script, second.script = script, script
		f := start(t, quick(), nil, first.server, second.server)
		answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
		must.NoError(t, answer.err)
		must.Eq(t, http.StatusOK, answer.status)
		must.Eq(t, "whole", answer.body)
		must.Eq(t, 1, first.runs.Load())
		must.Eq(t, 1, second.runs.Load())
		must.Eq(t, "", answer.header.Get("X-Tile"))
	})
	t.Run("by all", func(t *testing.T) {
		backend := newFakeBackend(t)
		backend.script = broken
		f := start(t, quick(), nil, backend.server)
		answer := f.do(http.MethodGet, pathTile, "", HeaderClass, "frame")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, codeUpstream, answer.code())
		must.Eq(t, "yes", answer.ran())
		must.Eq(t, "", answer.header.Get("X-Tile"))
		must.Eq(t, 1, backend.runs.Load())
	})
	t.Run("of a request that is not safe", func(t *testing.T) {
		backend := newFakeBackend(t)
		backend.script = broken
		f := start(t, quick(), nil, backend.server)
		answer := f.do(http.MethodPost, pathTile, "body", HeaderClass, "frame")
		must.Eq(t, http.StatusBadGateway, answer.status)
		must.Eq(t, "yes", answer.ran())
		must.Eq(t, 1, backend.runs.Load())
	})
}

package calibrate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// ErrUnexpectedAnswer is returned when the stand-in does not do what a probe needs.
var ErrUnexpectedAnswer = errors.New("unexpected answer of the engine")

// statePoll is how often the state is asked for while an order is carried out.
const statePoll = 2 * time.Millisecond

// remote is a stand-in engine behind HTTP.
type remote struct {
	address     string
	incarnation uint64
	fence       api.Fence
	assignment  api.Assignment
}

// run returns how long a probe takes.
func (r *remote) run(ctx context.Context, number int, probe Probe) (time.Duration, error) {
	if probe.Assignment != nil {
		return r.change(ctx, *probe.Assignment)
	}
	bodies := make([][]byte, len(probe.Requests))
	for i, tokens := range probe.Requests {
		bodies[i] = r.completion(fmt.Sprintf("%d-%d", number, i), tokens)
	}
	failures := make([]error, len(bodies))
	var group sync.WaitGroup
	start := time.Now()
	for i, body := range bodies {
		group.Go(func() { failures[i] = r.complete(ctx, body) })
	}
	group.Wait()
	took := time.Since(start)
	for _, err := range failures {
		if err != nil {
			return 0, errors.Wrap(err, probe.Name)
		}
	}
	return took, nil
}

// completion is a request whose words occur in no other request, so that
// nothing of its prompt is cached.
func (r *remote) completion(name string, tokens Tokens) []byte {
	words := make([]string, tokens.Prompt)
	for i := range words {
		words[i] = fmt.Sprintf("w%s-%d", name, i)
	}
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     r.assignment.Model,
		Prompt:    strings.Join(words, " "),
		MaxTokens: tokens.Answer,
		Stream:    true,
	})
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	return body
}

// streamEnd is the last event of a whole answer.
const streamEnd = "data: [DONE]"

func (r *remote) complete(ctx context.Context, body []byte) error {
	answer, err := r.do(ctx, http.MethodPost, engineapi.PathCompletions, body)
	if err != nil {
		return err
	}
	if !bytes.Contains(answer, []byte(streamEnd)) {
		return errors.Wrap(ErrUnexpectedAnswer, "the stream has no end")
	}
	return nil
}

// change orders an assignment and waits until the engine serves in it.
func (r *remote) change(ctx context.Context, wanted api.Assignment) (time.Duration, error) {
	state, err := r.state(ctx)
	if err != nil {
		return 0, err
	}
	r.fence.Index++
	order, err := json.Marshal(api.Order{Fence: r.fence, Engine: state.Engine, Incarnation: r.incarnation, Assignment: wanted})
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	start := time.Now()
	if _, err := r.do(ctx, http.MethodPost, engineapi.PathOrders, order); err != nil {
		return 0, err
	}
	for {
		state, err := r.state(ctx)
		if err != nil {
			return 0, err
		}
		if state.Order == nil && state.Phase == api.PhaseServing && state.Assignment.Equal(wanted) {
			return time.Since(start), nil
		}
		time.Sleep(statePoll)
	}
}

func (r *remote) state(ctx context.Context) (engineapi.State, error) {
	var state engineapi.State
	answer, err := r.do(ctx, http.MethodGet, engineapi.PathState, nil)
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(answer, &state); err != nil {
		return state, errors.Wrap(ErrUnexpectedAnswer, err.Error())
	}
	if r.assignment.Model == "" {
		r.assignment = state.Assignment
	}
	return state, nil
}

func (r *remote) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnexpectedAnswer, "%s answered with status %d: %.200s", path, response.StatusCode, answer)
	}
	return answer, nil
}

package faults

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/pkg/errors"
)

// toxicType is the gate's name among Toxiproxy's toxics.
const toxicType = "landingtrail_gate"

// openingBytes is how much of a connection's beginning a Rule gets to see.
const openingBytes = 512

func init() { toxics.Register(toxicType, new(gateToxic)) }

// Verdict says what becomes of a chunk of bytes.
type Verdict uint8

// Verdicts. All but Pass hold for the rest of the connection.
const (
	// Pass hands the bytes on.
	Pass Verdict = iota
	// Drop swallows the bytes in silence, and all that follow.
	Drop
	// Hold keeps the bytes, and all that follow, until Release.
	Hold
	// Sever ends the connection.
	Sever
)

// Rule judges a chunk by itself and by the beginning of its connection, in
// which the connecting process says who it is.
type Rule func(opening, chunk []byte) Verdict

// Always returns a rule with one verdict for everything.
func Always(verdict Verdict) Rule {
	return func([]byte, []byte) Verdict { return verdict }
}

// WhenOpening returns a rule for the connections that begin with bytes that
// contain the mark.
func WhenOpening(mark []byte, verdict Verdict) Rule {
	return func(opening, _ []byte) Verdict {
		if bytes.Contains(opening, mark) {
			return verdict
		}
		return Pass
	}
}

// WhenChunk returns a rule for the connections from the first chunk on that
// contains the mark.
func WhenChunk(mark []byte, verdict Verdict) Rule {
	return func(_, chunk []byte) Verdict {
		if bytes.Contains(chunk, mark) {
			return verdict
		}
		return Pass
	}
}

// Gate judges the bytes of one direction of a link. It counts what it did, so
// that a test can tell that its fault really struck.
type Gate struct {
	id      string
	rule    atomic.Pointer[Rule]
	struck  atomic.Int64
	ended   chan struct{}
	endOnce sync.Once

	mutex    sync.Mutex
	released chan struct{}
}

// gates finds the gate of a toxic, which Toxiproxy makes from JSON.
var (
	gates    sync.Map // of *Gate by id
	nextGate atomic.Uint64
)

func newGate() *Gate {
	gate := &Gate{
		id:       strconv.FormatUint(nextGate.Add(1), 10),
		released: make(chan struct{}),
		ended:    make(chan struct{}),
	}
	gates.Store(gate.id, gate)
	return gate
}

// Set makes the rule hold for every chunk from now on.
func (g *Gate) Set(rule Rule) { g.rule.Store(&rule) }

// Clear lets everything pass from now on, but for the connections that are
// already dropped or held.
func (g *Gate) Clear() { g.rule.Store(nil) }

// Release hands on what is held.
func (g *Gate) Release() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	close(g.released)
	g.released = make(chan struct{})
}

// Struck counts the chunks that did not pass.
func (g *Gate) Struck() int64 { return g.struck.Load() }

func (g *Gate) close() {
	g.endOnce.Do(func() { close(g.ended) })
	gates.Delete(g.id)
}

func (g *Gate) releaseSignal() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.released
}

// judge applies the rule and counts.
func (g *Gate) judge(opening, chunk []byte) Verdict {
	rule := g.rule.Load()
	if rule == nil {
		return Pass
	}
	verdict := (*rule)(opening, chunk)
	if verdict != Pass {
		g.struck.Add(1)
	}
	return verdict
}

// gateToxic is the gate in Toxiproxy's chain.
type gateToxic struct {
	Gate string `json:"gate"`
}

// connection is what a gate knows of one direction of a connection.
type connection struct {
	opening []byte
	silent  bool
}

// NewState implements toxics.StatefulToxic.
func (t *gateToxic) NewState() any { return &connection{} }

// Pipe implements toxics.Toxic.
func (t *gateToxic) Pipe(stub *toxics.ToxicStub) {
	found, _ := gates.Load(t.Gate)
	gate, known := found.(*Gate)
	state, kept := stub.State.(*connection)
	if !known || !kept {
		stub.Close()
		return
	}
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !gate.pipe(stub, state, chunk) {
				stub.Close()
				discard(stub)
				return
			}
		}
	}
}

// discard reads what still comes, since the link's reader waits for it.
func discard(stub *toxics.ToxicStub) {
	for chunk := <-stub.Input; chunk != nil; chunk = <-stub.Input {
		continue
	}
}

// pipe treats one chunk; false ends the connection.
func (g *Gate) pipe(stub *toxics.ToxicStub, state *connection, chunk *stream.StreamChunk) bool {
	if state.silent {
		return g.stillSilent()
	}
	if missing := openingBytes - len(state.opening); missing > 0 {
		state.opening = append(state.opening, chunk.Data[:min(missing, len(chunk.Data))]...)
	}
	released := g.releaseSignal()
	switch g.judge(state.opening, chunk.Data) {
	case Sever:
		return false
	case Drop:
		state.silent = true
		return true
	case Hold:
		select {
		case <-released:
		case <-g.ended:
			return false
		}
	}
	stub.Output <- chunk
	return true
}

// stillSilent ends a connection that lost bytes once the rule is cleared: the
// bytes are gone, so that it can never be whole again.
func (g *Gate) stillSilent() bool {
	if g.rule.Load() == nil {
		return false
	}
	g.struck.Add(1)
	return true
}

// addGates puts a gate into each direction of a link that has no connection yet.
func (l *Link) addGates() error {
	for name, gate := range map[string]*Gate{"upstream": l.Requests, "downstream": l.Answers} {
		toxic, err := json.Marshal(map[string]any{
			"name":       name,
			"type":       toxicType,
			"stream":     name,
			"attributes": gateToxic{Gate: gate.id},
		})
		if err != nil {
			return errors.Wrap(err, "faults: encode gate")
		}
		if _, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(toxic)); err != nil {
			return errors.Wrap(err, "faults: add gate")
		}
	}
	return nil
}

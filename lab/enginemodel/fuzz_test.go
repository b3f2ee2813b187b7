package enginemodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/version/api"
)

// machine drives an engine at random and compares it with simple rules.
type machine struct {
	*driver
	admitted  map[RunKey]Request
	cancelled map[RunKey]bool
	ended     map[RunKey]int
	seen      int // events looked at
	fence     api.Fence
	accepted  map[api.Fence]api.Assignment // in this incarnation
	count     int
}

func newMachine(t *rapid.T) *machine {
	config := testConfig(rapid.SampledFrom([]api.Assignment{mixed, prefill, decode, {}}).Draw(t, "assignment"))
	config.KVTokens = 1000
	config.StagingTokens = 600
	config.MaxBatch = 3
	config.MaxWaiting = 4
	config.DetachedLimit = 2 * time.Second
	config.ExternalLoad = rapid.Bool().Draw(t, "external load")
	m := &machine{driver: newDriver(config)}
	m.reset()
	return m
}

func (m *machine) reset() {
	m.admitted = map[RunKey]Request{}
	m.cancelled = map[RunKey]bool{}
	m.ended = map[RunKey]int{}
	m.accepted = map[api.Fence]api.Assignment{}
	m.fence = api.Fence{}
	m.events, m.seen = nil, 0
}

func (m *machine) admitAny(t *rapid.T) {
	m.count++
	r := request(fmt.Sprint(m.count), rapid.IntRange(1, 500).Draw(t, "prompt"), rapid.IntRange(1, 300).Draw(t, "output"))
	r.Blocks = SyntheticBlocks("m", rapid.Uint64Range(1, 3).Draw(t, "prefix"), 160, r.PromptHash, r.PromptTokens, DefaultBlockTokens)
	r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	r.PrefillOnly = rapid.Bool().Draw(t, "prefill only")
	phase := m.State().Phase
	admission := m.Admit(m.now, r)
	if admission.Admitted {
		if phase != api.PhaseServing {
			t.Fatalf("admitted while %s", phase)
		}
		m.admitted[r.Key] = r
	}
}

func (m *machine) anyKey(t *rapid.T) RunKey {
	return RunKey{ID: fmt.Sprint(rapid.IntRange(1, m.count+1).Draw(t, "id"))}
}

func (m *machine) order(t *rapid.T) {
	o := api.Order{
		Fence:       api.Fence{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Index: rapid.Uint64Range(0, 30).Draw(t, "index")},
		Engine:      "e1",
		Incarnation: m.Incarnation() + rapid.SampledFrom([]uint64{0, 0, 0, 0, 1}).Draw(t, "other incarnation"),
		Assignment: rapid.SampledFrom([]api.Assignment{
			mixed, prefill, decode, {}, {Model: "m", Version: "v2", Role: api.RoleMixed},
		}).Draw(t, "wanted"),
	}
	before := m.State()
	reply := m.Order(m.now, o)
	_, known := m.accepted[o.Fence]
	if reply.Code != engineapi.OrderAccepted || known {
		if reply.State.Fence != before.Fence || reply.State.Phase != before.Phase || !reply.State.Assignment.Equal(before.Assignment) {
			t.Fatalf("%s changed %+v to %+v", reply.Code, before, reply.State)
		}
		return
	}
	if o.Incarnation != before.Incarnation || before.Order != nil || !before.Fence.Less(o.Fence) {
		t.Fatalf("accepted %+v in %+v", o, before)
	}
	m.accepted[o.Fence] = o.Assignment
}

func (m *machine) void(t *rapid.T) {
	request := engineapi.VoidRequest{
		Fence:       api.Fence{Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Index: rapid.Uint64Range(0, 30).Draw(t, "index")},
		Incarnation: m.Incarnation(),
	}
	reply := m.Void(m.now, request)
	if reply.Code == engineapi.OrderVoid && reply.State.Order != nil && reply.State.Order.Fence.Less(request.Fence) {
		t.Fatalf("order %+v open after void %+v", reply.State.Order, request)
	}
}

// check holds the engine against the rules after every action.
func (m *machine) check(t *rapid.T) {
	state := m.State()
	if state.Fence.Less(m.fence) {
		t.Fatalf("fence fell from %+v to %+v", m.fence, state.Fence)
	}
	m.fence = state.Fence
	if state.Phase == api.PhaseChanging && m.busy() {
		t.Fatalf("changes while it runs work")
	}
	if state.Order != nil && !m.accepted[state.Order.Fence].Equal(state.Order.Assignment) {
		t.Fatalf("open order %+v was not accepted", state.Order)
	}
	m.checkMemory(t)
	m.checkEnds(t)
}

func (m *machine) checkMemory(t *rapid.T) {
	private, unread, pins, promised := 0, 0, 0, 0
	for _, s := range append(slices.Clone(m.running), m.waiting...) {
		private += s.private
		pins += s.pinned
		if s.request.PrefillOnly {
			promised += s.request.PromptTokens
		}
	}
	for _, s := range m.waiting {
		unread += s.request.PromptTokens
	}
	held := 0
	for _, cached := range m.cache.blocks {
		held += cached.pins
	}
	staged := 0
	for _, entry := range m.staging.entries {
		staged += entry.Tokens
	}
	switch {
	case m.freeTokens() < 0:
		t.Fatalf("KV memory overrun by %d", -m.freeTokens())
	case private != m.private, unread != m.waitingTokens, held != pins, staged != m.staging.tokens:
		t.Fatalf("counts differ: private %d/%d waiting %d/%d pins %d/%d staged %d/%d",
			private, m.private, unread, m.waitingTokens, held, pins, staged, m.staging.tokens)
	case m.staging.tokens+m.staging.promised > m.Config().StagingTokens, m.staging.promised != promised:
		t.Fatalf("staging overrun: %d and %d promised", m.staging.tokens, m.staging.promised)
	}
}

// checkEnds looks at new events: a run ends once, whole or by its caller.
func (m *machine) checkEnds(t *rapid.T) {
	for ; m.seen < len(m.events); m.seen++ {
		event := m.events[m.seen]
		switch event.Kind {
		case EventFinished:
			if event.Offset != m.admitted[event.Request.Key].OutputTokens {
				t.Fatalf("run %v ended after %d tokens", event.Request.Key, event.Offset)
			}
		case EventCancelled:
			if !m.cancelled[event.Request.Key] {
				t.Fatalf("run %v was cut short: %s", event.Request.Key, event.Reason)
			}
		case EventExported:
		default:
			continue
		}
		m.ended[event.Request.Key]++
		if m.ended[event.Request.Key] > 1 {
			t.Fatalf("run %v ended twice", event.Request.Key)
		}
	}
}

func TestEngineKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admitAny,
			"order": m.order,
			"void":  m.void,
			"cancel": func(t *rapid.T) {
				key := m.anyKey(t)
				m.cancelled[key] = true
				m.Cancel(m.now, key)
			},
			"detach": func(t *rapid.T) {
				key := m.anyKey(t)
				m.cancelled[key] = true
				m.Detach(m.now, key)
			},
			"run": func(t *rapid.T) {
				m.runUntil(m.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds"))*time.Millisecond)
			},
			"finish load": func(*rapid.T) {
				if m.orders.open != nil {
					m.FinishLoad(m.now, m.orders.open.Fence)
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					m.Crash(m.now, m.Incarnation()+1)
					m.reset()
				}
			},
			"": m.check,
		})
		m.settle()
		m.check(t)
		for key := range m.admitted {
			if m.ended[key] != 1 {
				t.Fatalf("run %v never ended", key)
			}
		}
	})
}

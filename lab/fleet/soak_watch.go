package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/process/proxy"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Times of a watch.
const (
	watchPause   = 400 * time.Millisecond
	watchTimeout = 300 * time.Millisecond // of one question; who does not answer is asked again
)

// watch checks what must always hold while a soak runs. What it is told comes
// from its poll, or from a test.
type watch struct {
	mutex      sync.Mutex
	ledgers    map[string]*ledgerState
	leaders    map[uint64]uint64 // term -> the member that some member took for its leader
	views      map[string]proxyView
	runs       map[uint64][]runEnd // by prompt
	violations []string
	known      map[string]bool // violations, each told once
}

// ledgerState is what was read of one stand-in's ledger.
type ledgerState struct {
	after   uint64
	highest api.Fence
	open    map[run]uint64 // prompts of the runs that have not ended, by run
}

// runEnd says where a run ended and whether only its prompt was read.
type runEnd struct {
	where    string
	exported bool
}

// proxyView is the view of one life of a proxy's process.
type proxyView struct {
	process int
	version view.Version
}

func newWatch() *watch {
	return &watch{
		ledgers: map[string]*ledgerState{},
		leaders: map[uint64]uint64{},
		views:   map[string]proxyView{},
		runs:    map[uint64][]runEnd{},
		known:   map[string]bool{},
	}
}

// violate notes what did not hold, once.
func (w *watch) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !w.known[text] {
		w.known[text] = true
		w.violations = append(w.violations, text)
	}
}

// told returns the violations so far.
func (w *watch) told() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]string(nil), w.violations...)
}

// takeLedger takes in the entries that a stand-in's ledger has after those known.
func (w *watch) takeLedger(page ledger.Page) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	state := w.ledgers[page.Name]
	if state == nil {
		state = &ledgerState{open: map[run]uint64{}}
		w.ledgers[page.Name] = state
	}
	if page.Dropped > 0 {
		w.violate("the ledger of %s dropped entries, so that it proves nothing", page.Name)
	}
	for _, entry := range page.Entries {
		if entry.Sequence > state.after {
			state.after = entry.Sequence
			w.takeEntry(page.Name, state, entry)
		}
	}
}

func (w *watch) takeEntry(name string, state *ledgerState, entry ledger.Entry) {
	which := run{entry.RequestID, entry.Attempt}
	switch entry.Event {
	case ledger.EventStarted:
		state.open[which] = entry.PromptHash
	case ledger.EventFinished, ledger.EventExported, ledger.EventCancelled, ledger.EventCrashed, ledger.EventCutShort:
		if prompt, open := state.open[which]; open {
			delete(state.open, which)
			w.runs[prompt] = append(w.runs[prompt], runEnd{name, entry.Event == ledger.EventExported})
		}
		if entry.Event == ledger.EventCutShort {
			w.violate("cut short: %s ended request %s at token %d for a planned change", name, entry.RequestID, entry.Tokens)
		}
	case ledger.EventOrder:
		if entry.Reason != acceptedOrder || entry.Assignment == nil {
			return
		}
		if entry.Fence == nil || entry.Fence.Less(state.highest) {
			w.violate("order: %s accepted fence %v after %v", name, entry.Fence, state.highest)
			return
		}
		state.highest = *entry.Fence
	}
}

// ran counts the runs of a prompt that generated an answer and have ended.
func (w *watch) ran(prompt uint64) int {
	count := 0
	for _, end := range w.runs[prompt] {
		if !end.exported {
			count++
		}
	}
	return count
}

// takeOutcomes compares what callers were told with what ran. A keyed request is
// sent through two proxies, so that what one send is told says nothing about the
// other's; it must run once at most.
func (w *watch) takeOutcomes(outcomes []ended) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, one := range outcomes {
		name := fmt.Sprintf("%s %s, prompt %x", one.class, one.key, one.prompt)
		switch {
		case one.outcome == caller.OutcomeWrong || one.outcome == caller.OutcomeRejected:
			w.violate("%s: %s %s", one.outcome, name, one.detail)
		case one.outcome == caller.OutcomeRefused && one.key == "" && w.ran(one.prompt) > 0:
			w.violate("told not run, but ran: %s: %s", name, one.detail)
		case one.key != "" && w.ran(one.prompt) > 1:
			w.violate("ran twice: %s: %v", name, w.runs[one.prompt])
		}
	}
}

// takeMember holds that a term has one leader.
func (w *watch) takeMember(name string, self operatorapi.MemberStatus) {
	if self.Leader == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	leader, known := w.leaders[self.Term]
	if known && leader != self.Leader {
		w.violate("term %d has two leaders: %d, and %d by %s", self.Term, leader, self.Leader, name)
	}
	w.leaders[self.Term] = self.Leader
}

// takeProxy holds that a view never goes back in one life of a process.
func (w *watch) takeProxy(name string, process int, version view.Version) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.views[name]
	if before.process == process && version.Revision < before.version.Revision {
		w.violate("the view of %s went back from %v to %v", name, before.version, version)
	}
	w.views[name] = proxyView{process, version}
}

// poll asks everybody once; who does not answer is asked again.
func (w *watch) poll(fleet *Fleet) {
	for _, one := range append(append([]place(nil), fleet.layout.engines...), fleet.layout.backends...) {
		w.pollLedger(one)
	}
	for _, member := range fleet.layout.members {
		var self operatorapi.MemberStatus
		if askSoon(member.operator, operatorapi.PathMemberStatus, &self) == nil {
			w.takeMember(member.name, self)
		}
	}
	for _, one := range fleet.layout.proxies {
		child := fleet.run.find(prefixProxy + one.zone)
		if child == nil {
			continue
		}
		process := child.command.Process.Pid
		var state proxy.Readiness
		if askSoon(one.admin, proxy.PathHealth, &state) == nil && fleet.run.find(child.name) == child {
			w.takeProxy(one.name, process, state.Version)
		}
	}
}

func (w *watch) pollLedger(one place) {
	w.mutex.Lock()
	var after uint64
	if state := w.ledgers[one.name]; state != nil {
		after = state.after
	}
	w.mutex.Unlock()
	var page ledger.Page
	if askSoon(one.address, fmt.Sprintf("%s?after=%d", engine.PathLedger, after), &page) == nil {
		w.takeLedger(page)
	}
}

// askSoon asks once and does not wait long.
func askSoon(address, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	return ask(ctx, address, path, into)
}

// ask reads JSON from an HTTP path.
func ask(ctx context.Context, address, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "fleet: ask "+path)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fleet: ask "+path)
	}
	defer func() { _ = response.Body.Close() }() // only read
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "fleet: ask "+path)
}

package fleet

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
)

const auditTimeout = 20 * time.Second

// audit reads every stand-in's ledger and compares it with what must always
// hold. It runs while the engines still do, after the callers have ended.
func (f *Fleet) audit(summary *Summary, items []trace.Item) error {
	// The run may have been given up; the ledgers are still worth reading.
	ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
	defer cancel()
	once := onceOnly(items)
	runs := map[uint64]int{}
	for _, one := range f.layout.engines {
		page, err := readLedger(ctx, one.address)
		if err != nil {
			return f.run.explain(err)
		}
		summary.auditEngine(one.name, page)
		for prompt, count := range countRuns(page.Entries) {
			runs[prompt] += count
		}
	}
	ran := 0
	for prompt, key := range once {
		if runs[prompt] > 0 {
			ran++
		}
		if runs[prompt] > 1 {
			summary.RanTwice++
			summary.violate("ran twice: request %s ran %d times", key, runs[prompt])
		}
	}
	summary.RanOnce = ran - summary.RanTwice
	if len(once) > 0 && ran == 0 {
		summary.violate("none of %d requests to run at most once was found in a ledger, so that nothing is proved", len(once))
	}
	return nil
}

// onceOnly returns the prompts of the requests that must run at most once.
func onceOnly(items []trace.Item) map[uint64]string {
	prompts := map[uint64]string{}
	for i := range items {
		item := &items[i]
		if item.RepeatNever && item.Model != "" {
			prompts[enginemodel.PromptHash(caller.Prompt(item, item.Key))] = item.Key
		}
	}
	return prompts
}

// run names one attempt of one request on one engine.
type run struct {
	request string
	attempt uint32
}

// countRuns counts the runs that generated an answer, by prompt. An exported
// run only read the prompt for another engine.
func countRuns(entries []ledger.Entry) map[uint64]int {
	exported := map[run]bool{}
	for _, entry := range entries {
		if entry.Event == ledger.EventExported {
			exported[run{entry.RequestID, entry.Attempt}] = true
		}
	}
	counts := map[uint64]int{}
	for _, entry := range entries {
		if entry.Event == ledger.EventStarted && !exported[run{entry.RequestID, entry.Attempt}] {
			counts[entry.PromptHash]++
		}
	}
	return counts
}

// auditEngine counts one engine's changes and answers cut short.
func (s *Summary) auditEngine(name string, page ledger.Page) {
	if page.Dropped > 0 {
		s.violate("the ledger of %s dropped %d entries, so that it proves nothing", name, page.Dropped)
	}
	var last *api.Assignment
	var highest api.Fence
	for _, entry := range page.Entries {
		switch entry.Event {
		case ledger.EventCutShort:
			s.CutShort++
			s.violate("cut short: %s ended request %s at token %d for a planned change", name, entry.RequestID, entry.Tokens)
		case ledger.EventOrder:
			if entry.Assignment == nil || entry.Reason != acceptedOrder {
				continue
			}
			if entry.Fence == nil || entry.Fence.Less(highest) {
				s.violate("order: %s accepted fence %v after %v", name, entry.Fence, highest)
				continue
			}
			highest = *entry.Fence
			if last != nil && !last.Equal(*entry.Assignment) {
				s.countChange(*last, *entry.Assignment)
			}
			last = entry.Assignment
		}
	}
}

// readLedger reads a stand-in's whole ledger.
func readLedger(ctx context.Context, address string) (ledger.Page, error) {
	var page ledger.Page
	err := ask(ctx, address, engine.PathLedger+"?after=0", &page)
	return page, err
}

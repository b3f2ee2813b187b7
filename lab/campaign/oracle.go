package campaign

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// Rules that the oracle checks. Each names what the brief says must always hold.
const (
	ruleOneOrder       = "one_order_per_engine"
	ruleStaleAuthority = "stale_authority_changes_nothing"
	ruleNotCutShort    = "planned_change_cuts_nothing"
	ruleOwnAnswer      = "whole_and_own_answer"
	ruleNotRun         = "told_not_run_was_not_run"
	ruleAtMostOnce     = "at_most_once"
	ruleLeaving        = "leaving_gets_no_new_work"
	ruleConfiguration  = "accepted_configuration_stands"
	ruleInForce        = "in_force_means_everywhere"
	ruleAgreement      = "members_agree"
	ruleOneLeader      = "one_leader_per_term"
	ruleFinalAnswer    = "final_answer_at_once"
	ruleRecovers       = "recovers_after_faults"
)

// leavingGrace is how long a leaving engine may still be asked.
const leavingGrace = 8 * time.Second

// Violation is one broken rule.
type Violation struct {
	Seed  uint64 `json:"seed"`
	Rule  string `json:"rule"`
	Trace string `json:"trace"`
}

// oracle knows what happened and what should have. It uses none of the
// product's code but the state machine's, to replay the committed log.
type oracle struct {
	world      *world
	violations []Violation

	entries map[uint64]entryRecord
	machine *state.Machine // all that any member has applied
	applied uint64
	leaders map[uint64]raft.MemberID

	calls      []*call
	runs       map[enginemodel.RunKey]*run
	runsByCall map[string]int
	runsByKey  map[string]int

	wholeAt map[string]time.Duration // when a run was answered whole, by key

	operations []*operation
	accepted   map[string]uint64                // highest accepted revision by object
	bases      map[string]string                // operation that was accepted on a revision of an object
	results    map[string]api.TransactionResult // first result of each operation
	answeredAt uint64                           // highest accepted revision that an operator was told
	inForceAt  uint64

	orders       int // taken by engines
	timesInForce int // revisions found in force
	leaseReads   int
}

type entryRecord struct {
	term uint64
	sum  uint64
}

// run is one admitted run on an engine.
type run struct {
	call     *call
	finished bool
}

func newOracle(w *world) *oracle {
	return &oracle{
		world:      w,
		entries:    map[uint64]entryRecord{},
		machine:    state.New(),
		leaders:    map[uint64]raft.MemberID{},
		runs:       map[enginemodel.RunKey]*run{},
		runsByCall: map[string]int{},
		runsByKey:  map[string]int{},
		wholeAt:    map[string]time.Duration{},
		accepted:   map[string]uint64{},
		bases:      map[string]string{},
		results:    map[string]api.TransactionResult{},
	}
}

func (o *oracle) violate(rule, format string, arguments ...any) {
	text := fmt.Sprintf("%.3fs: ", o.world.now.Seconds()) + fmt.Sprintf(format, arguments...)
	o.violations = append(o.violations, Violation{Seed: o.world.seed, Rule: rule, Trace: text})
}

// committed compares an entry that a member applies with what others applied.
func (o *oracle) committed(m *member, entry raft.Entry) {
	record := entryRecord{term: entry.Term, sum: checksum(entry.Data)}
	if known, found := o.entries[entry.Index]; found {
		if known != record {
			o.violate(ruleAgreement, "%s applied another entry at index %d", m.name, entry.Index)
		}
		return
	}
	o.entries[entry.Index] = record
	if entry.Index != o.applied+1 {
		o.violate(ruleAgreement, "%s applied index %d after %d", m.name, entry.Index, o.applied)
	}
	o.applied = entry.Index
	if entry.Kind != raft.EntryCommand {
		return
	}
	command, err := state.Decode(entry.Data)
	if err != nil {
		o.violate(ruleAgreement, "entry %d cannot be decoded: %v", entry.Index, err)
		return
	}
	result := o.machine.Apply(entry.Term, entry.Index, command)
	if command.Kind == state.CommandTransaction {
		o.transaction(*command.Transaction, result.(api.TransactionResult))
	}
}

// transaction checks that an operation keeps its first result, and that no two
// writers win on the same revision.
func (o *oracle) transaction(transaction api.Transaction, result api.TransactionResult) {
	first, seen := o.results[transaction.OperationID]
	if seen && (first.Code != result.Code || first.Revision != result.Revision) {
		o.violate(ruleConfiguration, "%s had the result %s, and then %s", transaction.OperationID, first.Code, result.Code)
	}
	if !seen {
		o.results[transaction.OperationID] = result
	}
	if result.Code != api.OutcomeAccepted {
		return
	}
	for _, write := range transaction.Writes {
		key, _ := write.Object.Key()
		base := fmt.Sprintf("%s@%d", key, write.Object.Metadata().Revision)
		if winner, taken := o.bases[base]; taken && winner != transaction.OperationID {
			o.violate(ruleConfiguration, "%s and %s were both accepted on %s", winner, transaction.OperationID, base)
		}
		o.bases[base] = transaction.OperationID
		o.accepted[key.String()] = max(o.accepted[key.String()], result.Revision)
	}
}

func checksum(data []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(data)
	return sum.Sum64()
}

// restored checks a snapshot against the replayed log when both stand at the same index.
func (o *oracle) restored(m *member, snapshot raft.Snapshot) {
	if snapshot.Index > o.applied {
		o.violate(ruleAgreement, "%s restored index %d, above all that was applied", m.name, snapshot.Index)
	}
}

func (o *oracle) leads(m *member, term uint64) {
	if leader, known := o.leaders[term]; known && leader != m.id {
		o.violate(ruleOneLeader, "%s leads term %d beside another member", m.name, term)
	}
	o.leaders[term] = m.id
}

func (o *oracle) messageRefused(m *member, err error) {
	if errors.Is(err, raft.ErrDiverged) {
		o.violate(ruleAgreement, "%s: %v", m.name, err)
	}
}

func (o *oracle) configures(raft.ConfigurationChange) { o.world.strike(strikeMembership) }

// ordered checks an order that has reached an engine.
func (o *oracle) ordered(h *engineHost, order api.Order, before engineapi.State, reply engineapi.OrderReply) {
	if reply.Code != engineapi.OrderAccepted {
		if order.Fence.Less(before.Fence) || order.Incarnation != before.Incarnation {
			o.world.strike(strikeStaleOrder)
		}
		return
	}
	if before.Order != nil && before.Order.Fence != order.Fence {
		o.violate(ruleOneOrder, "%s took order %v while it carried out %v", h.name, order.Fence, before.Order.Fence)
	}
	record, known := o.entries[order.Fence.Index]
	if !known || record.term != order.Fence.Term {
		o.violate(ruleStaleAuthority, "%s took order %v, which was never committed", h.name, order.Fence)
		return
	}
	if before.Fence == order.Fence {
		return // a resend
	}
	o.orders++
	engine := o.machine.View().Engines[h.name]
	if engine == nil || engine.Status.OpenOrder == nil || engine.Status.OpenOrder.Fence != order.Fence {
		o.violate(ruleStaleAuthority, "%s took order %v, which is not its open order", h.name, order.Fence)
	}
}

// admittedRun counts a run that an engine took in.
func (o *oracle) admittedRun(key enginemodel.RunKey, request *pendingRequest) {
	c := request.call
	o.runs[key] = &run{call: c}
	o.runsByCall[c.id]++
	if !c.once {
		return
	}
	name := c.tenant + "/" + c.key
	o.runsByKey[name]++
	if o.runsByKey[name] > 1 {
		o.violate(ruleAtMostOnce, "%s ran %d times", name, o.runsByKey[name])
	}
}

func (o *oracle) finishedRun(key enginemodel.RunKey) {
	if known := o.runs[key]; known != nil {
		known.finished = true
	}
}

func (o *oracle) cancelledRun(key enginemodel.RunKey, reason enginemodel.CancelReason) {
	if reason != enginemodel.CancelByCaller && reason != enginemodel.CancelAbandoned {
		o.violate(ruleNotCutShort, "run %v was ended: %s", key, reason)
	}
}

func (o *oracle) sentToLeaving(h *engineHost) {
	if o.world.now-h.leavingSince > leavingGrace {
		o.violate(ruleLeaving, "%s was sent a request %.1fs after it began to leave", h.name, (o.world.now - h.leavingSince).Seconds())
	}
}

func (o *oracle) called(c *call) { o.calls = append(o.calls, c) }

// answered checks what a caller got.
func (o *oracle) answered(c *call) {
	answer := c.answer
	if late := o.world.now - c.startedAt - c.deadline; late > lateAnswer && !o.world.wasPaused(c.proxy, c.startedAt) {
		o.violate(ruleFinalAnswer, "%s was answered %.2fs after its deadline", c.id, late.Seconds())
	}
	if !answer.whole {
		o.cutShort(c)
		return
	}
	got := answer.replayed
	if got == "" {
		got = joinTokens(answer.tokens)
	}
	if answer.replayed == "" && c.once {
		o.wholeAt[c.key] = o.world.now
	}
	if got != c.expected() {
		o.violate(ruleOwnAnswer, "%s got another answer than its own whole one", c.id)
	}
}

// recordWindow is how long the record of a completed run may take to be
// committed when a planned stop meets it: a lost try and the next one.
const recordWindow = 2*outcomeInterval + electionTimeout

// recording reports whether the call repeats one that was answered whole so
// shortly before that the record of its run may still be on its way: until
// then "unknown" is the documented answer to a repeat, and nothing was cut.
func (o *oracle) recording(c *call) bool {
	if c.resends == 0 {
		return false
	}
	at, answered := o.wholeAt[c.key]
	return answered && c.startedAt-at <= recordWindow
}

// cutShort checks that a run that was not brought to its end met a fault.
func (o *oracle) cutShort(c *call) {
	if c.answer.ran == attempt.RanNo || o.world.disturbed(c.startedAt) || o.recording(c) {
		return
	}
	o.violate(ruleNotCutShort, "%s ended with ran %q though nothing had failed", c.id, c.answer.ran)
}

func (o *oracle) viewMoved(p *proxyHost, before, after view.Version) {
	if after.Compare(before) < 0 {
		o.violate(ruleConfiguration, "%s went back from revision %d to %d", p.name, before.Revision, after.Revision)
	}
}

// inForce notes that the leader calls the revision in force.
func (o *oracle) inForce(revision uint64) {
	if revision > o.inForceAt {
		o.timesInForce++
		o.inForceAt = revision
	}
}

// dispatched checks that a proxy that holds a lease uses a view that is no
// older than what was called in force, and that one without a lease sends only
// to engines that have spoken for themselves since it lapsed.
func (o *oracle) dispatched(p *proxyHost, h *engineHost, held view.Version) {
	if !p.holder.Valid(p.clock()) {
		if heard := p.word(h.name).at; heard <= p.lapsedAt {
			o.violate(ruleInForce, "%s sent to %s without a lease and without the engine's own word", p.name, h.name)
		}
		return
	}
	if held.Revision < o.inForceAt {
		o.violate(ruleInForce, "%s used revision %d after %d was in force", p.name, held.Revision, o.inForceAt)
	}
}

// work counts what was done.
func (o *oracle) work() map[string]int {
	work := map[string]int{
		"requests":           len(o.calls),
		"runs":               len(o.runs),
		"transactions":       len(o.operations),
		"orders_carried_out": o.orders,
		"entries":            int(o.applied),
		"revisions_in_force": o.timesInForce,
		"lease_reads":        o.leaseReads,
	}
	for _, c := range o.calls {
		switch {
		case c.answer == nil:
		case c.answer.replayed != "":
			work["answers_replayed"]++
		case c.answer.whole:
			work["answers_whole"]++
		default:
			work["answers_ran_"+string(c.answer.ran)]++
		}
	}
	for _, op := range o.operations {
		if op.result != nil {
			work["transactions_"+string(op.result.Code)]++
		}
	}
	return work
}

func (o *oracle) submitted(op *operation) { o.operations = append(o.operations, op) }

// operationAnswered checks an answer against the replayed log.
func (o *oracle) operationAnswered(op *operation) {
	kept, known := o.machine.Operation(op.write.OperationID)
	if !known {
		o.violate(ruleConfiguration, "%s was answered %s but is not in the log", op.write.OperationID, op.result.Code)
		return
	}
	if op.result.Code == api.OutcomeAccepted {
		o.answeredAt = max(o.answeredAt, op.result.Revision)
	}
	if kept.Code != op.result.Code || kept.Revision != op.result.Revision {
		o.violate(ruleConfiguration, "%s was answered %s, the log says %s", op.write.OperationID, op.result.Code, kept.Code)
	}
}

// leaseRead checks that a leader that holds its lease and has applied all that
// it knows to be committed reads no less than operators were told.
func (o *oracle) leaseRead(m *member) {
	if m.applied < m.node.Status().Commit {
		return
	}
	o.leaseReads++
	if read := m.machine.Version().Revision; read < o.answeredAt {
		o.violate(ruleConfiguration, "%s read revision %d by its lease after %d was answered", m.name, read, o.answeredAt)
	}
}

func (o *oracle) sameAnswer(op *operation, answer api.TransactionResult) {
	if answer.Code != op.result.Code || answer.Revision != op.result.Revision {
		o.violate(ruleConfiguration, "%s got two answers: %s and %s", op.write.OperationID, op.result.Code, answer.Code)
	}
}

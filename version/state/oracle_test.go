package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
)

// oracle is a simple reference implementation of Machine for comparison tests. It
// uses maps of values, linear scans and full copies, without indexes, shared
// maps or an expiry queue. It does not implement the Ingress, observed objects and
// usage.
type oracle struct {
	term, index         uint64
	clock               int64
	objects             map[api.Key]api.Object
	operations          map[string]oracleOperation
	claims              map[string]oracleClaim
	machines            Machines
	earlierIncarnations map[string][]uint64
	members             map[uint64]Member
}

type oracleOperation struct {
	body    string
	result  api.TransactionResult
	expires int64
}

type oracleClaim struct {
	claim   api.Claim
	nonce   uint64
	expires int64
}

func newOracle() *oracle {
	return &oracle{
		objects:             map[api.Key]api.Object{},
		operations:          map[string]oracleOperation{},
		claims:              map[string]oracleClaim{},
		earlierIncarnations: map[string][]uint64{},
		members:             map[uint64]Member{},
	}
}

func (o *oracle) apply(term, index uint64, c Command) any {
	o.term, o.index, o.clock = term, index, max(o.clock, c.Time)
	switch c.Kind {
	case CommandTransaction:
		return o.transaction(*c.Transaction, c.Limits)
	case CommandOpenOrder:
		return o.openOrder(*c.OpenOrder)
	case CommandCloseOrder:
		return o.closeOrder(*c.CloseOrder)
	case CommandVoidOrder:
		if e := o.engine(c.VoidOrder.Engine); e != nil && e.Status.OpenOrder != nil && e.Status.OpenOrder.Fence == c.VoidOrder.Fence {
			return VoidOrderResult{Open: true, Fence: api.Fence{Term: term, Index: index}}
		}
		return VoidOrderResult{}
	case CommandReportEngine:
		o.report(*c.EngineReport, false)
	case CommandMachines:
		o.listMachines(*c.Machines)
	case CommandClaim:
		return o.claim(*c.Claim)
	case CommandRunOutcome:
		o.recordOutcome(*c.RunOutcome)
	case CommandMember:
		if !o.members[c.Member.ID].Removed {
			o.members[c.Member.ID] = *c.Member
		}
	}
	return nil
}

// engine returns a copy of the stored engine, or nil if there is none.
func (o *oracle) engine(name string) *api.Engine {
	stored := o.objects[api.Key{Kind: api.KindEngine, Name: name}].Engine
	if stored == nil {
		return nil
	}
	e := *stored
	return &e
}

func (o *oracle) store(e *api.Engine) {
	o.objects[api.Key{Kind: api.KindEngine, Name: e.Name}] = api.Object{Engine: e}
}

// matchesNaively is a reference implementation of selector.Matches.
func matchesNaively(s api.Selector, labels api.Labels) bool {
	conditions := 0
	for key, value := range s.MatchLabels {
		conditions++
		if got, ok := labels[key]; !ok || got != value {
			return false
		}
	}
	for _, r := range s.MatchExpressions {
		conditions++
		got, ok := labels[r.Key]
		in := ok && slices.Contains(r.Values, got)
		met := map[api.Operator]bool{
			api.OperatorIn: in, api.OperatorNotIn: !in, api.OperatorExists: ok, api.OperatorDoesNotExist: !ok,
		}
		if !met[r.Operator] {
			return false
		}
	}
	return s.All || conditions > 0
}

// intentsOf returns the intents that select an engine, sorted by name.
func intentsOf(objects map[api.Key]api.Object, e *api.Engine) []*api.Intent {
	var intents []*api.Intent
	for _, object := range objects {
		if object.Intent != nil && matchesNaively(object.Intent.Spec.Engines, e.Labels) {
			intents = append(intents, object.Intent)
		}
	}
	slices.SortFunc(intents, func(a, b *api.Intent) int { return strings.Compare(a.Name, b.Name) })
	return intents
}

func desiredState(i *api.Intent) string {
	roles := slices.Clone(i.Spec.Roles)
	slices.Sort(roles)
	return fmt.Sprint(i.Spec.Model, i.Spec.Version, i.Spec.Adapters, roles)
}

func sortedEngines(objects map[api.Key]api.Object) []*api.Engine {
	var engines []*api.Engine
	for _, object := range objects {
		if object.Engine != nil {
			engines = append(engines, object.Engine)
		}
	}
	slices.SortFunc(engines, func(a, b *api.Engine) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

func (o *oracle) transaction(t api.Transaction, limits TransactionLimits) api.TransactionResult {
	if t.DryRun {
		result, _ := o.tryWrites(t, limits)
		result.Revision = 0
		return result
	}
	body, _ := json.Marshal(api.Transaction{Writes: t.Writes, AllowBroad: t.AllowBroad})
	if stored, ok := o.operations[t.OperationID]; ok && o.clock < stored.expires {
		if stored.body != string(body) {
			return api.TransactionResult{Code: api.OutcomeOperationConflict}
		}
		return stored.result
	}
	result, next := o.tryWrites(t, limits)
	if result.Code == api.OutcomeAccepted {
		o.objects = next
		for _, w := range t.Writes {
			if w.Delete && w.Object.Engine != nil {
				delete(o.earlierIncarnations, w.Object.Engine.Name)
			}
		}
	}
	o.operations[t.OperationID] = oracleOperation{string(body), result, o.clock + limits.OperationRetention}
	return result
}

func (o *oracle) tryWrites(t api.Transaction, limits TransactionLimits) (api.TransactionResult, map[api.Key]api.Object) {
	var conflicts []api.Conflict
	next := maps.Clone(o.objects)
	deletesOpenOrder := false
	for _, w := range t.Writes {
		key, _ := w.Object.Key()
		current, exists := o.objects[key]
		switch {
		case !exists && w.Object.Metadata().Revision != 0:
			conflicts = append(conflicts, api.Conflict{Key: key})
		case exists && current.Metadata().Revision != w.Object.Metadata().Revision:
			conflicts = append(conflicts, api.Conflict{Key: key, Current: &current})
		case w.Delete:
			e := current.Engine
			deletesOpenOrder = deletesOpenOrder || e != nil && e.Status.OpenOrder != nil && e.Status.Phase != api.PhaseGone
			delete(next, key)
		default:
			next[key] = o.objectAfterWrite(w.Object, current)
		}
	}
	if len(conflicts) > 0 {
		return api.TransactionResult{Code: api.OutcomeRevisionConflict, Conflicts: conflicts}, nil
	}
	if deletesOpenOrder {
		return api.TransactionResult{Code: api.OutcomeInvalid}, nil
	}
	return o.checkIntents(t, limits, next)
}

func (o *oracle) objectAfterWrite(object, current api.Object) api.Object {
	switch {
	case object.Engine != nil:
		e := *object.Engine
		e.Status = api.EngineStatus{Phase: o.platformPhase(e.Name, api.PhaseUnknown), MachinePhase: o.platformPhase(e.Name, api.PhaseUnknown)}
		if current.Engine != nil {
			e.Status = current.Engine.Status
		}
		object.Engine = &e
	case object.Intent != nil:
		i := *object.Intent
		i.Status = api.IntentStatus{}
		object.Intent = &i
	case object.Service != nil:
		s := *object.Service
		s.Status = o.serviceStatus(s)
		object.Service = &s
	}
	object.Metadata().Revision = o.index
	return object
}

func (o *oracle) checkIntents(t api.Transaction, limits TransactionLimits, next map[api.Key]api.Object) (api.TransactionResult, map[api.Key]api.Object) {
	var conflicts []api.Conflict
	var affected []string
	reassigned := 0
	for _, e := range sortedEngines(next) {
		after := intentsOf(next, e)
		for _, other := range after {
			if desiredState(other) != desiredState(after[0]) {
				conflicts = append(conflicts, api.Conflict{
					Key: api.Key{Kind: api.KindEngine, Name: e.Name}, Engine: e.Name, Intents: []string{after[0].Name, other.Name},
				})
			}
		}
		if len(after) == 0 {
			if e.Status.UnmatchedSince == 0 {
				e = &api.Engine{Metadata: e.Metadata, Spec: e.Spec, Status: e.Status}
				e.Status.UnmatchedSince = o.index
				next[api.Key{Kind: api.KindEngine, Name: e.Name}] = api.Object{Engine: e}
			}
			continue
		}
		copied := *e
		copied.Status.UnmatchedSince = 0
		next[api.Key{Kind: api.KindEngine, Name: e.Name}] = api.Object{Engine: &copied}
		if changed, assigned := o.compareDesired(e.Name, after[0]); changed {
			affected = append(affected, e.Name)
			if assigned {
				reassigned++
			}
		}
	}
	if len(conflicts) > 0 {
		return api.TransactionResult{Code: api.OutcomeIntentConflict, Conflicts: conflicts}, nil
	}
	if limits.MaxAffectedEngines > 0 && reassigned > limits.MaxAffectedEngines && !t.AllowBroad {
		return api.TransactionResult{Code: api.OutcomeTooBroad, AffectedEngines: affected}, nil
	}
	return api.TransactionResult{Code: api.OutcomeAccepted, Revision: o.index, AffectedEngines: affected}, next
}

// compareDesired reports whether the intent changes the desired state of the engine, and
// whether the engine had a desired state or an assignment before.
func (o *oracle) compareDesired(name string, after *api.Intent) (changed, assigned bool) {
	before := o.engine(name)
	if before == nil {
		return true, false
	}
	if intents := intentsOf(o.objects, before); len(intents) > 0 {
		return desiredState(intents[0]) != desiredState(after), true
	}
	assignment := before.Status.Assignment
	if before.Status.OpenOrder != nil {
		assignment = before.Status.OpenOrder.Assignment
	}
	return !satisfiesNaively(after, assignment), assignment.Model != "" || assignment.Role != ""
}

func satisfiesNaively(i *api.Intent, a api.Assignment) bool {
	return a.Model == i.Spec.Model && a.Version == i.Spec.Version &&
		slices.Equal(a.Adapters, i.Spec.Adapters) && slices.Contains(i.Spec.Roles, a.Role)
}

func (o *oracle) platformPhase(name string, phase api.EnginePhase) api.EnginePhase {
	if slices.Contains(o.machines.Gone, name) {
		return api.PhaseGone
	}
	if slices.Contains(o.machines.Leaving, name) {
		return api.PhaseLeaving
	}
	return phase
}

func (o *oracle) serviceStatus(s api.Service) api.ServiceStatus {
	var status api.ServiceStatus
	for _, b := range s.Spec.Backends {
		switch o.platformPhase(b.Name, "") {
		case api.PhaseGone:
			status.Gone = append(status.Gone, b.Name)
		case api.PhaseLeaving:
			status.Leaving = append(status.Leaving, b.Name)
		}
	}
	return status
}

func (o *oracle) listMachines(machines Machines) {
	before := o.machines
	o.machines = machines
	for key, object := range o.objects {
		if object.Service != nil {
			s := *object.Service
			s.Status = o.serviceStatus(s)
			o.objects[key] = api.Object{Service: &s}
		}
		if object.Engine != nil {
			e := *object.Engine
			if slices.Contains(before.Gone, e.Name) || slices.Contains(before.Leaving, e.Name) {
				e.Status.Phase = api.PhaseUnknown
			}
			e.Status.Phase = o.platformPhase(e.Name, e.Status.Phase)
			e.Status.MachinePhase = o.platformPhase(e.Name, api.PhaseUnknown)
			o.store(&e)
		}
	}
}

func (o *oracle) openOrder(open OpenOrder) OpenOrderResult {
	e := o.engine(open.Engine)
	if e == nil {
		return OpenOrderResult{Code: OpenOrderUnknownEngine}
	}
	if e.Status.OpenOrder != nil {
		return OpenOrderResult{Code: OpenOrderAlreadyOpen, Order: *e.Status.OpenOrder}
	}
	if open.Incarnation != e.Status.Incarnation || open.Incarnation == 0 {
		return OpenOrderResult{Code: OpenOrderOtherIncarnation}
	}
	intents := intentsOf(o.objects, e)
	drains := open.Assignment.Model == ""
	mayDrain := e.Spec.Drain || e.Status.Phase == api.PhaseLeaving
	mayLoad := !mayDrain && e.Status.Phase != api.PhaseGone && len(intents) > 0 && satisfiesNaively(intents[0], open.Assignment)
	if drains && !mayDrain || !drains && !mayLoad {
		return OpenOrderResult{Code: OpenOrderNotAllowed}
	}
	unavailable := 0
	for _, other := range sortedEngines(o.objects) {
		in := len(intents) > 0 && matchesNaively(intents[0].Spec.Engines, other.Labels)
		available := other.Status.Phase == api.PhaseServing || other.Status.Phase == api.PhaseIdle
		if in && (!available || other.Spec.Drain || other.Status.OpenOrder != nil) {
			unavailable++
		}
	}
	serves := e.Status.Phase == api.PhaseServing && !e.Spec.Drain
	unreported := e.Status.Phase == api.PhaseUnknown && !e.Spec.Drain
	if unreported || serves && unavailable >= max(intents[0].Spec.MaxUnavailable, 1) {
		return OpenOrderResult{Code: OpenOrderBudgetExhausted}
	}
	order := api.Order{
		Fence: api.Fence{Term: o.term, Index: o.index}, Engine: e.Name,
		Incarnation: open.Incarnation, Assignment: open.Assignment, Reason: open.Reason,
	}
	e.Status.OpenOrder = &order
	o.store(e)
	return OpenOrderResult{Code: OpenOrderOpened, Order: order}
}

func (o *oracle) closeOrder(c CloseOrder) CloseOrderResult {
	e := o.engine(c.Engine)
	if e == nil || e.Status.OpenOrder == nil || e.Status.OpenOrder.Fence != c.Fence || c.Report.Engine != c.Engine {
		return CloseOrderResult{}
	}
	order, r := e.Status.OpenOrder, c.Report
	same := r.Incarnation == order.Incarnation
	settled := r.Phase != api.PhaseDraining && r.Phase != api.PhaseChanging
	later := order.Fence.Less(r.Fence)
	proven := map[CloseReason]bool{
		CloseDone:             same && settled && (later || r.Fence == order.Fence) && r.Assignment.Equal(order.Assignment),
		CloseVoid:             same && settled && later,
		CloseOtherIncarnation: !same,
	}
	return CloseOrderResult{Closed: proven[c.Reason] && o.report(r, true)}
}

// report commits a report and returns true, unless the engine is unknown or the report
// is stale.
func (o *oracle) report(r EngineReport, closes bool) bool {
	e := o.engine(r.Engine)
	if e == nil || r.Incarnation == 0 {
		return false
	}
	s := &e.Status
	if s.Incarnation == r.Incarnation && r.Fence.Less(s.Fence) {
		return false
	}
	if s.Incarnation != r.Incarnation {
		highest := s.Fence
		if s.OpenOrder != nil && highest.Less(s.OpenOrder.Fence) {
			highest = s.OpenOrder.Fence
		}
		i := slices.Index(o.earlierIncarnations[r.Engine], r.Incarnation)
		if i >= 0 && !highest.Less(r.Fence) {
			return false
		}
		if i >= 0 {
			o.earlierIncarnations[r.Engine] = slices.Delete(o.earlierIncarnations[r.Engine], i, i+1)
		}
		if s.Incarnation != 0 {
			o.earlierIncarnations[r.Engine] = append(o.earlierIncarnations[r.Engine], s.Incarnation)
		}
	}
	s.Phase = o.platformPhase(r.Engine, r.Phase)
	s.Incarnation, s.Assignment, s.Fence = r.Incarnation, r.Assignment, r.Fence
	if closes {
		s.OpenOrder = nil
	}
	o.store(e)
	return true
}

func (o *oracle) claim(r ClaimRequest) api.ClaimResult {
	key := r.Tenant + "/" + r.Key
	stored, ok := o.claims[key]
	if !ok || stored.expires <= o.clock || stored.claim.Outcome == api.RunNotRun && stored.nonce != r.Nonce {
		claim := api.Claim{
			Tenant: r.Tenant, Key: r.Key, BodyHash: r.BodyHash, Attempt: r.Attempt, Proxy: r.Proxy,
			Outcome: api.RunUnknown, GrantedAt: o.clock, Revision: o.index,
		}
		o.claims[key] = oracleClaim{claim, r.Nonce, o.clock + r.Retention}
		return api.ClaimResult{Code: api.ClaimGranted, Claim: claim}
	}
	claim := stored.claim
	if claim.Outcome == api.RunNotRun {
		return api.ClaimResult{Code: api.ClaimDone, Claim: claim}
	}
	if claim.BodyHash != r.BodyHash {
		claim.Answer = nil
		return api.ClaimResult{Code: api.ClaimConflict, Claim: claim}
	}
	if claim.Outcome != api.RunUnknown {
		return api.ClaimResult{Code: api.ClaimDone, Claim: claim}
	}
	if stored.nonce == r.Nonce && claim.Attempt == r.Attempt && claim.Proxy == r.Proxy {
		return api.ClaimResult{Code: api.ClaimGranted, Claim: claim}
	}
	return api.ClaimResult{Code: api.ClaimRunning, Claim: claim}
}

func (o *oracle) recordOutcome(r RunOutcome) {
	key := r.Tenant + "/" + r.Key
	stored, ok := o.claims[key]
	ok = ok && o.clock < stored.expires
	if r.Outcome == api.RunNotRun && (!ok || stored.claim.Outcome == api.RunNotRun) {
		claim := api.Claim{Tenant: r.Tenant, Key: r.Key, Outcome: api.RunNotRun, GrantedAt: o.clock, Revision: o.index}
		o.claims[key] = oracleClaim{claim, r.Nonce, o.clock + abandonedClaimRetention}
		return
	}
	if ok && stored.nonce == r.Nonce && stored.claim.Outcome == api.RunUnknown {
		stored.claim.Outcome, stored.claim.Answer = r.Outcome, r.Answer
		o.claims[key] = stored
	}
}

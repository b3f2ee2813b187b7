package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/request/retry"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/shoenig/test/must"
)

// historyMember is a member's replica with an in-memory disk.
type historyMember struct {
	id    raft.MemberID
	seed  uint64
	disk  *faultfs.FileSystem
	lock  sync.Mutex
	group *group // nil while it is down
	// hangs is the time until which the disk hangs. It blocks the member's loop as a pause of its
	// process would.
	hangs time.Time
}

// hangingDisk blocks saves while its member's disk hangs.
type hangingDisk struct {
	replica.Storage
	member *historyMember
}

// Save implements replica.Storage.
func (d hangingDisk) Save(update replica.Update) error {
	d.member.lock.Lock()
	hangs := d.member.hangs
	d.member.lock.Unlock()
	time.Sleep(time.Until(hangs))
	return d.Storage.Save(update)
}

func (m *historyMember) hang(pause time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.hangs = time.Now().Add(pause)
}

func (m *historyMember) current() *group {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.group
}

func (m *historyMember) set(current *group) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.group = current
}

// historyGroup is a group on an in-memory network, in virtual time.
type historyGroup struct {
	t         *testing.T
	members   []*historyMember
	bootstrap raft.Configuration
	lock      sync.Mutex
	random    *rand.Rand // of the network, guarded by lock
	cut       map[[2]raft.MemberID]bool
	crashes   int
	cuts      int
	hangs     int
}

func newHistoryGroup(t *testing.T, seed uint64) *historyGroup {
	g := &historyGroup{t: t, random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]raft.MemberID]bool{}}
	for i := range uint64(3) {
		m := &historyMember{seed: seed*10 + i, disk: faultfs.New(seed*10 + i)}
		disk := g.open(m)
		m.id = disk.Identity().Member
		must.NoError(t, disk.Close())
		g.members = append(g.members, m)
		g.bootstrap.Voters = append(g.bootstrap.Voters, m.id)
	}
	for _, m := range g.members {
		g.start(m)
	}
	return g
}

func (g *historyGroup) open(m *historyMember) *replica.Disk {
	disk, err := replica.OpenDisk(replica.DiskOptions{FileSystem: m.disk, Dir: "data", Group: 42})
	must.NoError(g.t, err)
	return disk
}

func (g *historyGroup) start(m *historyMember) {
	machine := newMachine()
	started, err := replica.Start(replica.Config{
		Raft:            raft.Config{ID: m.id, Seed: m.seed},
		Storage:         hangingDisk{Storage: g.open(m), member: m},
		Transport:       g,
		StateMachine:    machine,
		Bootstrap:       g.bootstrap,
		SnapshotEntries: 25,
	})
	must.NoError(g.t, err)
	m.set(&group{
		replica: started,
		machine: machine,
		config:  Config{Durations: Durations{Proposal: 700 * time.Millisecond}}.WithDefaults(),
		demand:  newDemandTable(time.Now()),
		quotas:  newQuotaCharger(quota.Rule{}), rates: ratelimit.NewLimiter(ratelimit.DefaultRule, 0), retries: retry.NewPool(rand.Uint64), streams: newStreamArchive(Config{}, nopLogger{}), restarts: newRestartDoubts(),
		metrics: newMetrics(),
	})
}

// Send delivers each message after an individual delay, so that messages are reordered. Some are
// duplicated and some lost.
func (g *historyGroup) Send(messages []raft.Message) {
	g.lock.Lock()
	defer g.lock.Unlock()
	for _, message := range messages {
		if g.random.IntN(50) == 0 {
			continue
		}
		for copies := 1 + g.random.IntN(20)/19; copies > 0; copies-- {
			delay := time.Duration(g.random.IntN(15)) * time.Millisecond
			time.AfterFunc(delay, func() { g.deliver(message) })
		}
	}
}

func (g *historyGroup) deliver(message raft.Message) {
	g.lock.Lock()
	blocked := g.cut[[2]raft.MemberID{message.From, message.To}]
	g.lock.Unlock()
	for _, m := range g.members {
		if current := m.current(); m.id == message.To && current != nil && !blocked {
			current.replica.Receive(message)
		}
	}
}

// crash discards the member's unsynced data and restarts it after the downtime.
func (g *historyGroup) crash(m *historyMember, downtime time.Duration) {
	crashed := m.current()
	m.set(nil)
	m.disk.StopAfter(0)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = crashed.replica.Stop(ended) // fails, since the disk is stopped
	m.disk.Crash()
	g.crashes++
	time.Sleep(downtime)
	g.start(m)
}

// isolate blocks the messages to the member, those from it, or both.
func (g *historyGroup) isolate(m *historyMember, inbound, outbound bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	clear(g.cut)
	for _, other := range g.members {
		g.cut[[2]raft.MemberID{other.id, m.id}] = inbound
		g.cut[[2]raft.MemberID{m.id, other.id}] = outbound
	}
	g.cuts++
}

func (g *historyGroup) heal() {
	g.lock.Lock()
	defer g.lock.Unlock()
	clear(g.cut)
}

// leader returns the leader of the highest term, or a random member if there is none.
func (g *historyGroup) leader(random *rand.Rand) *historyMember {
	chosen, term := g.members[random.IntN(len(g.members))], uint64(0)
	for _, m := range g.members {
		if status := m.current().replica.Status(); status.Role == raft.Leader && status.Term > term {
			chosen, term = m, status.Term
		}
	}
	return chosen
}

// injectFaults injects the given number of faults, with random pauses and recoveries.
func (g *historyGroup) injectFaults(random *rand.Rand, rounds int) {
	for range rounds {
		time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
		target := g.leader(random)
		switch random.IntN(5) {
		case 0:
			g.crash(target, time.Duration(random.IntN(3000))*time.Millisecond)
		case 1:
			g.isolate(target, true, true)
		case 2:
			g.isolate(target, true, false)
		case 3:
			g.isolate(target, false, true)
		case 4:
			target.hang(time.Duration(2000+random.IntN(6000)) * time.Millisecond)
			g.hangs++
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		g.heal()
	}
}

func (g *historyGroup) stop() {
	for _, m := range g.members {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = m.current().replica.Stop(ended)
	}
}

// Operations on one key, which is a tenant's name or a claim's key.
type (
	writeInput struct {
		key      string
		revision uint64
		weight   float64
	}
	readInput  struct{ key string }
	claimInput struct {
		key   string
		nonce uint64
	}
	// register is the value of a key, and the output of reads and writes.
	register struct {
		revision uint64
		weight   float64
		accepted bool // set for accepted writes
	}
	claimOutput   struct{ code api.ClaimCode }
	unknownOutput struct{} // there was no answer: it is unknown whether the operation took effect
)

// historyClient sends one operation at a time to random members.
type historyClient struct {
	group  *historyGroup
	number int
	random *rand.Rand
	last   map[string]register
	log    []porcupine.Operation
	sent   int
}

const historyKeys = 3

func (c *historyClient) run(operations int) {
	for range operations {
		key := fmt.Sprintf("key-%d", c.random.IntN(historyKeys))
		switch c.random.IntN(5) {
		case 0:
			c.claim(fmt.Sprintf("claim-%d", c.random.IntN(4*historyKeys)))
		case 1, 2:
			c.read(key)
		default:
			c.write(key)
		}
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
}

func (c *historyClient) record(call time.Time, input, output any) {
	ended := time.Now().UnixNano()
	if _, unknown := output.(unknownOutput); unknown {
		ended = time.Now().Add(1000 * time.Hour).UnixNano()
	}
	c.log = append(c.log, porcupine.Operation{
		ClientId: c.number, Input: input, Call: call.UnixNano(), Output: output, Return: ended,
	})
}

// propose sends the same command to random members until one replies or the tries are used up. Some
// replies are dropped. The result is nil when there was no reply; proposed is then false if the
// command was definitely never proposed.
func (c *historyClient) propose(send func(*group) (any, error)) (result any, proposed bool) {
	const tries = 12
	for range tries {
		current := c.group.members[c.random.IntN(len(c.group.members))].current()
		if current == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		answer, err := send(current)
		if err == nil && c.random.IntN(10) > 0 {
			return answer, true
		}
		proposed = proposed || !definitelyNotProposed(err)
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
	}
	return nil, proposed
}

func (c *historyClient) write(key string) {
	c.sent++
	input := writeInput{key: key, revision: c.last[key].revision, weight: float64(c.number*1000 + c.sent)}
	tenant := &api.Tenant{
		Metadata: api.Metadata{Name: key, Revision: input.revision},
		Spec:     api.TenantSpec{Weight: input.weight},
	}
	transaction := &api.Transaction{
		OperationID: fmt.Sprintf("%d-%d", c.number, c.sent),
		Writes:      []api.Write{{Object: api.Object{Tenant: tenant}}},
	}
	call := time.Now()
	answer, proposed := c.propose(func(current *group) (any, error) {
		return current.propose(context.Background(), state.Command{Kind: state.CommandTransaction, Transaction: transaction})
	})
	switch {
	case answer != nil:
		output := registerFromResult(answer.(api.TransactionResult), input)
		c.last[key] = output
		c.record(call, input, output)
	case proposed:
		c.record(call, input, unknownOutput{})
	}
}

func registerFromResult(result api.TransactionResult, input writeInput) register {
	if result.Code == api.OutcomeAccepted {
		return register{revision: result.Revision, weight: input.weight, accepted: true}
	}
	if current := result.Conflicts[0].Current; current != nil {
		return register{revision: current.Tenant.Revision, weight: current.Tenant.Spec.Weight}
	}
	return register{}
}

func (c *historyClient) read(key string) {
	call := time.Now()
	answer, _ := c.propose(func(current *group) (any, error) {
		if _, valid := current.Lease(context.Background()); !valid {
			return nil, errNoLease
		}
		tenant := current.machine.view().Tenants[key]
		if tenant == nil {
			return register{}, nil
		}
		return register{revision: tenant.Revision, weight: tenant.Spec.Weight}, nil
	})
	if answer != nil {
		c.last[key] = answer.(register)
		c.record(call, readInput{key: key}, answer)
	}
}

func (c *historyClient) claim(key string) {
	c.sent++
	input := claimInput{key: key, nonce: uint64(c.number*1000 + c.sent)}
	request := &state.ClaimRequest{Tenant: "water", Key: key, BodyHash: 9, Attempt: 1, Proxy: "proxy", Nonce: input.nonce, Retention: time.Hour.Milliseconds()}
	call := time.Now()
	answer, proposed := c.propose(func(current *group) (any, error) {
		return current.propose(context.Background(), state.Command{Kind: state.CommandClaim, Claim: request})
	})
	switch {
	case answer != nil:
		c.record(call, input, claimOutput{code: answer.(api.ClaimResult).Code})
	case proposed:
		c.record(call, input, unknownOutput{})
	}
}

// keyModel is the sequential specification of a single key.
var keyModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step:      func(state, input, output any) (bool, any) { return state.(keyState).step(input, output) },
}

type keyState struct {
	register register
	nonce    uint64 // nonce of the granted claim
	// isRevisionUnknown is true after a write with unknown outcome took effect, so that no client
	// knows its revision.
	isRevisionUnknown bool
}

func (s keyState) step(input, output any) (bool, any) {
	switch input := input.(type) {
	case readInput:
		return s.matches(output.(register))
	case writeInput:
		return s.write(input, output)
	case claimInput:
		return s.claim(input, output)
	}
	return false, s
}

// matches compares an observed value with the state. The revision of a write with unknown outcome
// is not known either: the first value observed after it must have a higher revision than the state
// and determines the revision.
func (s keyState) matches(seen register) (bool, any) {
	if s.isRevisionUnknown {
		ok := seen.weight == s.register.weight && seen.revision > s.register.revision
		return ok, keyState{register: register{revision: seen.revision, weight: seen.weight}}
	}
	return seen.revision == s.register.revision && seen.weight == s.register.weight, s
}

func (s keyState) write(input writeInput, output any) (bool, any) {
	known, answered := output.(register)
	fits := !s.isRevisionUnknown && input.revision == s.register.revision
	switch {
	case !answered && fits:
		return true, keyState{register: register{revision: s.register.revision, weight: input.weight}, isRevisionUnknown: true}
	case !answered:
		// The write names a revision that is not the current one, so it was refused. It cannot name
		// the unknown revision of a write with unknown outcome, since clients write only on
		// revisions that they were told.
		return true, s
	case known.accepted:
		ok := fits && known.revision > s.register.revision
		return ok, keyState{register: register{revision: known.revision, weight: input.weight}}
	}
	ok, next := s.matches(known)
	return ok && known.revision != input.revision, next
}

func (s keyState) claim(input claimInput, output any) (bool, any) {
	granted := keyState{nonce: input.nonce}
	known, answered := output.(claimOutput)
	switch {
	case !answered && s.nonce == 0:
		return true, granted
	case !answered:
		return true, s
	case known.code == api.ClaimGranted:
		return s.nonce == 0, granted
	}
	return known.code == api.ClaimRunning && s.nonce != 0, s
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, operation := range history {
		key := keyOf(operation.Input)
		parts[key] = append(parts[key], operation)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

func keyOf(input any) string {
	switch input := input.(type) {
	case readInput:
		return input.key
	case writeInput:
		return input.key
	case claimInput:
		return input.key
	}
	return ""
}

// runHistory returns the operations that the clients of one seed observed.
func runHistory(t *testing.T, seed uint64) (history []porcupine.Operation, g *historyGroup) {
	const clients, operations, rounds = 6, 150, 8
	synctest.Test(t, func(t *testing.T) {
		g = newHistoryGroup(t, seed)
		defer g.stop()
		var running sync.WaitGroup
		list := make([]*historyClient, clients)
		for i := range list {
			list[i] = &historyClient{group: g, number: i + 1, random: rand.New(rand.NewPCG(seed, uint64(i+2))), last: map[string]register{}}
			running.Go(func() { list[i].run(operations) })
		}
		running.Go(func() { g.injectFaults(rand.New(rand.NewPCG(seed, 99)), rounds) })
		running.Wait()
		for _, client := range list {
			history = append(history, client.log...)
		}
	})
	return history, g
}

func TestHistoriesAreLinearizable(t *testing.T) {
	var operations, unknown, accepted, crashes, cuts, hangs int
	for seed := uint64(1); seed <= 12; seed++ {
		history, g := runHistory(t, seed)
		for _, operation := range history {
			operations++
			switch output := operation.Output.(type) {
			case unknownOutput:
				unknown++
			case register:
				if output.accepted {
					accepted++
				}
			}
		}
		crashes, cuts, hangs = crashes+g.crashes, cuts+g.cuts, hangs+g.hangs
		result := porcupine.CheckOperationsTimeout(keyModel, history, 20*time.Second)
		must.Eq(t, porcupine.Ok, result, must.Sprintf("seed %d", seed))
	}
	t.Logf("operations %d, accepted writes %d, lost %d, crashes %d, cuts %d, hangs %d", operations, accepted, unknown, crashes, cuts, hangs)
	// A run without faults and lost replies would test nothing.
	must.Positive(t, crashes)
	must.Positive(t, cuts)
	must.Positive(t, hangs)
	must.Positive(t, accepted)
	must.Positive(t, unknown)
}

func TestHistoryModelRejectsViolations(t *testing.T) {
	at := func(input, output any, call, ended int64) porcupine.Operation {
		return porcupine.Operation{Input: input, Output: output, Call: call, Return: ended}
	}
	first := at(writeInput{"a", 0, 1}, register{5, 1, true}, 0, 1)
	cases := map[string][]porcupine.Operation{
		"stale read":               {first, at(readInput{"a"}, register{}, 2, 3)},
		"both writes accepted":     {first, at(writeInput{"a", 0, 2}, register{6, 2, true}, 2, 3)},
		"conflict shows old value": {first, at(writeInput{"a", 0, 2}, register{}, 2, 3)},
		"claim granted twice": {
			at(claimInput{"c", 1}, claimOutput{api.ClaimGranted}, 0, 1), at(claimInput{"c", 2}, claimOutput{api.ClaimGranted}, 0, 1),
		},
	}
	for name, history := range cases {
		t.Run(name, func(t *testing.T) { must.False(t, porcupine.CheckOperations(keyModel, history)) })
	}
	must.True(t, porcupine.CheckOperations(keyModel, []porcupine.Operation{first, at(readInput{"a"}, register{revision: 5, weight: 1}, 2, 3)}))
}

package campaign

import (
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	// shortRestart is how long a member is away that restarts at once.
	shortRestart = 50 * time.Millisecond
	// repairWatch is how often a repair is looked after, and repairWindow for how long.
	repairWatch  = 500 * time.Millisecond
	repairWindow = 20 * time.Second
	// orderStall is how long stalled orders wait at least: long enough for a
	// later leader to carry them out and to open others.
	orderStall = 16 * time.Second
	// replayedOrders is how many old orders arrive at once.
	replayedOrders = 6
)

func (w *world) upMembers() int {
	count := 0
	for _, m := range w.members {
		if m.up {
			count++
		}
	}
	return count
}

func (w *world) killMember(m *member, down time.Duration) bool {
	if !m.up {
		return false
	}
	m.crash()
	w.restartMember(m, down)
	return true
}

// killInSave kills the leader's followers in the middle of their next saves and
// then the leader, which stays away while they elect another from what they had
// synced.
func (w *world) killInSave(leader *member, down time.Duration) bool {
	waiting := 0
	for _, m := range w.members {
		if m == leader || !m.up || m.pausedUntil > w.now {
			continue
		}
		waiting++
		m.crashInSave = func() {
			w.killMember(m, shortRestart)
			if waiting--; waiting == 0 {
				w.killMember(leader, electionTimeout+down)
			}
		}
	}
	return waiting == memberCount-1
}

func (w *world) restartMember(m *member, down time.Duration) {
	generation := m.generation
	w.after(down, func() {
		if m.up || m.generation != generation {
			return
		}
		if m.disk.state.Snapshot.Index > 0 {
			w.strike(strikeInstall)
		}
		m.boot()
	})
}

// wholeGroup reports whether the group has as many healthy voters as it was
// founded with: only then may a disk be lost without losing the quorum.
func (w *world) wholeGroup() bool {
	leader := w.leader()
	if leader == nil || w.upMembers() < memberCount {
		return false
	}
	status := leader.node.Status()
	if status.ConfigurationPending || len(status.Configuration.Voters) != memberCount || len(status.Configuration.Learners) > 0 {
		return false
	}
	for _, voter := range status.Configuration.Voters {
		if w.memberByID(voter) == nil || voter != status.ID && status.Match[voter] < status.Commit {
			return false
		}
	}
	return true
}

// loseDisk empties a member's disk: it comes back under a new identity.
func (w *world) loseDisk(m *member, down time.Duration) bool {
	if !m.up || !w.wholeGroup() {
		return false
	}
	m.crash()
	w.replaced[m.id] = m
	w.names++
	m.id = raft.MemberID(1000 + w.names)
	m.disk = &disk{}
	m.founding = raft.Configuration{}
	m.joining = true
	w.restartMember(m, down)
	return true
}

// loseDiskAfterRepair loses one disk, and another as soon as the first loss is
// repaired.
func (w *world) loseDiskAfterRepair(down time.Duration) bool {
	first, second := w.members[w.random.IntN(memberCount)], w.members[w.random.IntN(memberCount)]
	if !w.loseDisk(first, down) {
		return false
	}
	w.watchRepair(second, down, w.now+repairWindow)
	return true
}

func (w *world) watchRepair(m *member, down, until time.Duration) {
	w.after(repairWatch, func() {
		if w.now > until {
			return
		}
		if w.wholeGroup() && w.loseDisk(m, down) {
			w.strike(strikeSecondLoss)
			w.disturb(down)
			return
		}
		w.watchRepair(m, down, until)
	})
}

func (w *world) isolate(name string, length time.Duration) {
	for _, m := range w.members {
		if m.name != name {
			w.cutBoth(m.name, name, length)
		}
	}
	for _, p := range w.proxies {
		w.cutBoth(p.name, name, length)
	}
	for _, r := range w.relays {
		w.cutBoth(r.name, name, length)
	}
	for _, h := range w.engines {
		w.cutBoth(h.name, name, length)
	}
	w.cutBoth(w.operatorHost.name, name, length)
}

func (w *world) cutBoth(a, b string, length time.Duration) {
	w.network.cut(a, b, length)
	w.network.cut(b, a, length)
}

// stallOrders holds the leader's orders back for long, and soon cuts it off
// from the others, so that they arrive after another leader took over.
func (w *world) stallOrders(leader *member, length time.Duration) bool {
	for _, h := range w.engines {
		w.network.stall(leader.name, h.name, orderStall+length)
	}
	w.after(orderStall/4+length/4, func() {
		for _, m := range w.members {
			if m != leader {
				w.cutBoth(m.name, leader.name, orderStall+length)
			}
		}
	})
	return true
}

// sentOrder is an order that a leader of a term has sent.
type sentOrder struct {
	term   uint64
	engine *engineHost
	order  api.Order
}

// replayOrders lets orders arrive that a deposed leader sent long ago and that
// waited in a socket buffer.
func (w *world) replayOrders(pick int) bool {
	replayed := false
	for i := range replayedOrders {
		if len(w.sentOrders) == 0 {
			break
		}
		sent := w.sentOrders[(pick+i*i*pick)%len(w.sentOrders)]
		if !sent.engine.up || w.currentTerm() <= sent.term {
			continue
		}
		sent.engine.deliver(sent.engine.generation, func() { sent.engine.order(sent.order) })
		replayed = true
	}
	return replayed
}

func (w *world) currentTerm() uint64 {
	term := uint64(0)
	for _, m := range w.members {
		if m.up {
			term = max(term, m.node.Status().Term)
		}
	}
	return term
}

func (w *world) stallDeltas(leader *member, length time.Duration) bool {
	held := length + 2*electionTimeout
	for _, p := range w.proxies {
		w.network.stall(leader.name, p.name, held)
	}
	for _, r := range w.relays {
		w.network.stall(leader.name, r.name, held)
	}
	w.after(length/4, func() { leader.pause(electionTimeout + length) })
	return true
}

func (w *world) crashEngine(h *engineHost, down time.Duration) bool {
	if !h.up {
		return false
	}
	h.crash(down)
	return true
}

func (w *world) changingEngine() *engineHost {
	for _, h := range w.engines {
		if h.up && h.model.State().Phase == api.PhaseChanging {
			return h
		}
	}
	return nil
}

func (w *world) killProxy(p *proxyHost, down time.Duration) bool {
	if !p.up {
		return false
	}
	p.crash()
	w.after(down, func() {
		if !p.up {
			p.boot()
		}
	})
	return true
}

func (w *world) killRelay(r *relayHost, down time.Duration) bool {
	if !r.up {
		return false
	}
	r.crash()
	w.after(down, func() {
		if !r.up {
			r.boot()
		}
	})
	return true
}

func (w *world) pauseProxy(p *proxyHost, length time.Duration) {
	p.pause(length)
	w.lastPaused[p] = max(w.lastPaused[p], w.now+length)
}

func (w *world) leaveMachine(h *engineHost, length time.Duration) bool {
	if h.leaving || !h.up {
		return false
	}
	h.setLeaving(true)
	w.after(length+2*leavingGrace, func() { h.setLeaving(false) })
	return true
}

// plannedStop hands leadership over, stops the member and starts it again.
func (w *world) plannedStop(leader *member, down time.Duration) bool {
	status := leader.node.Status()
	var successor raft.MemberID
	for _, voter := range status.Configuration.Voters {
		if voter != leader.id && status.RecentlyActive[voter] {
			successor = voter
		}
	}
	if successor == raft.None || leader.node.TransferLeadership(leader.clock(), successor) != nil {
		return false
	}
	leader.stopping = true
	leader.pump()
	w.awaitHandover(leader, down, w.now+2*electionTimeout)
	return true
}

func (w *world) awaitHandover(m *member, down, until time.Duration) {
	generation := m.generation
	w.after(tickInterval, func() {
		if !m.up || m.generation != generation {
			return
		}
		if m.leads() && w.now < until {
			w.awaitHandover(m, down, until)
			return
		}
		m.kill()
		w.restartMember(m, down)
	})
}

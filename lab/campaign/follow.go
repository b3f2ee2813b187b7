package campaign

import (
	"time"

	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// noHint stands for a leader that is not known.
const noHint = -1

// follower is a process that follows the views: a proxy, or a relay.
type follower interface {
	host() *process
	updated(answered beat, news update)
	// redirected sends it to the member with the index, or to the next one.
	redirected(hint int)
}

// beat is a follower's heartbeat: what it holds, and what it acknowledges.
type beat struct {
	from        follower
	daemon      string // one start of the follower
	sentAt      time.Duration
	acked, held view.Version
}

// update is the answer to a beat.
type update struct {
	delta []byte        // nil: nothing newer
	lease time.Duration // 0: none is granted
	term  uint64
}

// answerBeat grants a lease to a follower and sends it what it lacks.
func (m *member) answerBeat(asked beat) {
	to := asked.from.host()
	if !m.leads() || m.duties == nil || !m.duties.tracking {
		hint := m.world.indexOf(m.node.Status().Leader)
		m.world.network.send(&m.process, to, func() { asked.from.redirected(hint) })
		return
	}
	news := update{term: m.duties.term}
	if m.duties.tracker.Observe(asked.daemon, asked.acked, m.clock()) {
		news.lease = viewLease
	}
	if delta, behind := m.machine.DeltaSince(asked.held); behind {
		news.delta = encodeDelta(delta)
	}
	m.world.network.datagram(&m.process, to, func() { asked.from.updated(asked, news) })
}

func encodeDelta(delta view.Delta) []byte {
	encoded, err := delta.AppendBinary(nil)
	if err != nil {
		panic(err)
	}
	return encoded
}

// proposeThrough sends a command from a process to a member and brings back
// what became of it.
func proposeThrough(from *process, target *member, command state.Command, answer func(result any, known bool), refused func()) {
	network := from.world.network
	network.send(from, &target.process, func() {
		taken := target.propose(command, func(result any, known bool) {
			network.send(&target.process, from, func() { answer(result, known) })
		})
		if !taken {
			network.send(&target.process, from, refused)
		}
	})
}

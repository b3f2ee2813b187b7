package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func testConfig(id MemberID) Config {
	return Config{
		ID:                id,
		ElectionTimeout:   simElectionTimeout,
		HeartbeatInterval: simHeartbeatInterval,
		LeaseDuration:     simLeaseDuration,
	}
}

func voters(ids ...MemberID) Configuration { return Configuration{Voters: ids} }

// group is a set of members whose messages are delivered immediately and in order if
// they pass filter. Its clock advances only explicitly.
type group struct {
	t            testing.TB
	now          time.Duration
	nodes        map[MemberID]*Node
	ids          []MemberID
	filter       func(Message) bool // nil delivers everything
	sentMessages []Message
	reads        []ReadState
}

// newGroup starts count voters with member 1 as leader, and one more member, number
// count+1, without a configuration.
func newGroup(t testing.TB, count int, adjust ...func(*Config)) *group {
	g := &group{t: t, nodes: make(map[MemberID]*Node)}
	configuration := Configuration{}
	for id := MemberID(1); id <= MemberID(count); id++ {
		configuration.Voters = append(configuration.Voters, id)
	}
	for id := MemberID(1); id <= MemberID(count)+1; id++ {
		config := testConfig(id)
		for _, change := range adjust {
			change(&config)
		}
		initial := InitialState{Configuration: configuration}
		if id > MemberID(count) {
			initial = InitialState{}
		}
		node, err := New(config, initial)
		must.NoError(t, err)
		g.nodes[id] = node
		g.ids = append(g.ids, id)
		node.Tick(0)
	}
	g.now = 2 * simElectionTimeout
	g.nodes[1].Tick(g.now)
	g.deliverAll()
	must.Eq(t, Leader, g.nodes[1].role)
	must.True(t, g.nodes[1].committedInTerm())
	return g
}

// drain processes all Readys of a node and returns their messages and reads.
func drain(n *Node) (messages []Message, reads []ReadState) {
	for n.HasReady() {
		ready := n.Ready()
		messages = append(messages, ready.Messages...)
		reads = append(reads, ready.ReadStates...)
		n.Advance(ready)
	}
	return messages, reads
}

// deliverAll delivers messages until there are none left.
func (g *group) deliverAll() {
	for busy := true; busy; {
		busy = false
		for _, id := range g.ids {
			messages, reads := drain(g.nodes[id])
			g.reads = append(g.reads, reads...)
			for _, message := range messages {
				busy = true
				g.sentMessages = append(g.sentMessages, message)
				if g.filter == nil || g.filter(message) {
					must.NoError(g.t, g.nodes[message.To].Step(g.now, message))
				}
			}
		}
	}
}

// advanceTime advances the clock by heartbeat intervals and ticks all members.
func (g *group) advanceTime(length time.Duration) {
	for end := g.now + length; g.now < end; {
		g.now += simHeartbeatInterval
		for _, id := range g.ids {
			g.nodes[id].Tick(g.now)
		}
		g.deliverAll()
	}
}

// propose proposes a command on member 1.
func (g *group) propose(data string) {
	_, _, err := g.nodes[1].Propose(g.now, []byte(data))
	must.NoError(g.t, err)
}

// change proposes a configuration change on member 1.
func (g *group) change(kind ChangeKind, member MemberID) {
	_, _, err := g.nodes[1].ProposeChange(g.now, ConfigurationChange{kind, member})
	must.NoError(g.t, err)
}

// isolate drops all messages from and to the given members, instead of the previous
// filter.
func (g *group) isolate(ids ...MemberID) {
	g.filter = func(m Message) bool { return !slices.Contains(ids, m.From) && !slices.Contains(ids, m.To) }
}

// countSent returns the number of messages of a kind sent since the last call.
func (g *group) countSent(kind MessageKind) int {
	count := 0
	for _, message := range g.sentMessages {
		if message.Kind == kind {
			count++
		}
	}
	g.sentMessages = nil
	return count
}

package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/pkg/errors"
)

// words is a replicated set. A command that is applied twice changes nothing, so
// a proposer may repeat one whose outcome it was not told.
type words struct {
	mutex sync.Mutex
	items map[string]bool
}

func (w *words) Apply(entry raft.Entry) any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.items[string(entry.Data)] = true
	return len(w.items)
}

func (w *words) Snapshot() ([]byte, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return json.Marshal(w.items)
}

func (w *words) Restore(data []byte) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return json.Unmarshal(data, &w.items)
}

func (w *words) sorted() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Sorted(maps.Keys(w.items))
}

// switchboard is the network between the members.
type switchboard struct {
	mutex   sync.Mutex
	members map[raft.MemberID]*replica.Replica
}

func (s *switchboard) Send(messages []raft.Message) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, message := range messages {
		if receiver := s.members[message.To]; receiver != nil {
			receiver.Receive(message)
		}
	}
}

// propose asks one member after the other until one has committed the word, and
// returns that member.
func (s *switchboard) propose(word string) raft.MemberID {
	for {
		for _, id := range s.running() {
			_, err := s.members[id].Propose(context.Background(), []byte(word))
			if err == nil {
				return id
			}
			if !errors.Is(err, replica.ErrNotLeader) && !errors.Is(err, replica.ErrOutcomeUnknown) {
				fmt.Println(err)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *switchboard) running() []raft.MemberID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.members))
}

// crash stops a member without handing its leadership over.
func (s *switchboard) crash(id raft.MemberID) {
	s.mutex.Lock()
	crashed := s.members[id]
	delete(s.members, id)
	s.mutex.Unlock()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = crashed.Stop(ended)
}

// Three members in memory elect a leader and commit a word; the leader is lost,
// and the other two go on.
func Example() {
	network := &switchboard{members: make(map[raft.MemberID]*replica.Replica)}
	configuration := raft.Configuration{Voters: []raft.MemberID{1, 2, 3}}
	sets := make(map[raft.MemberID]*words)
	for _, id := range configuration.Voters {
		sets[id] = &words{items: make(map[string]bool)}
		member, err := replica.Start(replica.Config{
			Raft: raft.Config{
				ID:                id,
				HeartbeatInterval: 20 * time.Millisecond,
				LeaseDuration:     160 * time.Millisecond,
				ElectionTimeout:   200 * time.Millisecond,
			},
			Storage:      replica.NewMemory(),
			Transport:    network,
			StateMachine: sets[id],
			Bootstrap:    configuration,
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		network.mutex.Lock()
		network.members[id] = member
		network.mutex.Unlock()
	}

	leader := network.propose("first")
	network.crash(leader)
	next := network.propose("second")
	fmt.Println("another leader:", next != leader)
	fmt.Println("committed:", sets[next].sorted())
	for _, id := range network.running() {
		network.crash(id)
	}
	// Output:
	// another leader: true
	// committed: [first second]
}

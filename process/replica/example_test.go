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

// words is a replicated set of strings. Commands are idempotent, so a proposer may
// retry one whose outcome is unknown.
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

// memoryTransport connects the members in memory.
type memoryTransport struct {
	mutex   sync.Mutex
	members map[raft.MemberID]*replica.Replica
}

func (s *memoryTransport) Send(messages []raft.Message) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, message := range messages {
		if receiver := s.members[message.To]; receiver != nil {
			receiver.Receive(message)
		}
	}
}

// propose tries the members in turn until one has committed the word, and returns that
// member.
func (s *memoryTransport) propose(word string) raft.MemberID {
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

func (s *memoryTransport) running() []raft.MemberID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Sorted(maps.Keys(s.members))
}

// crash stops a member without a leadership handover.
func (s *memoryTransport) crash(id raft.MemberID) {
	s.mutex.Lock()
	crashed := s.members[id]
	delete(s.members, id)
	s.mutex.Unlock()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = crashed.Stop(ended)
}

// Three in-memory members elect a leader and commit a word. The leader crashes, and the
// other two elect a new leader and commit another word.
func Example() {
	network := &memoryTransport{members: make(map[raft.MemberID]*replica.Replica)}
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

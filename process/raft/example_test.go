package raft_test

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
)

// Example runs a group of one member. A daemon does the same with a real disk, network
// and clock: persist, send, apply, advance.
func Example() {
	node, err := raft.New(raft.Config{
		ID:                1,
		ElectionTimeout:   300 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond,
		LeaseDuration:     250 * time.Millisecond,
	}, raft.InitialState{Configuration: raft.Configuration{Voters: []raft.MemberID{1}}})
	if err != nil {
		fmt.Println(err)
		return
	}

	var disk []raft.Entry
	handleReady := func() {
		for node.HasReady() {
			ready := node.Ready()
			disk = append(disk, ready.Entries...) // and ready.HardState, then sync
			for _, message := range ready.Messages {
				fmt.Println("send to", message.To)
			}
			for _, entry := range ready.Committed {
				if entry.Kind == raft.EntryCommand {
					fmt.Printf("apply %d: %s\n", entry.Index, entry.Data)
				}
			}
			node.Advance(ready)
		}
	}

	now := time.Duration(0)
	for ; node.Status().Role != raft.Leader; now += 10 * time.Millisecond {
		node.Tick(now)
		handleReady()
	}
	if _, _, err := node.Propose(now, []byte("first")); err != nil {
		fmt.Println(err)
	}
	handleReady()
	fmt.Println("entries on disk:", len(disk), "lease:", node.LeaseValid(now))
	// Output:
	// apply 2: first
	// entries on disk: 2 lease: true
}

// A partitioned leader loses its lease before any other member can win an election, so
// a member that checks LeaseValid after its work is the only one that acts as leader.
func ExampleNode_LeaseValid() {
	const tick = 10 * time.Millisecond
	nodes := make(map[raft.MemberID]*raft.Node)
	configuration := raft.Configuration{Voters: []raft.MemberID{1, 2, 3}}
	for _, id := range configuration.Voters {
		nodes[id], _ = raft.New(raft.Config{
			ID:                id,
			ElectionTimeout:   300 * time.Millisecond,
			HeartbeatInterval: 50 * time.Millisecond,
			LeaseDuration:     250 * time.Millisecond,
		}, raft.InitialState{Configuration: configuration})
	}
	now := time.Duration(0)
	partitioned := raft.None
	// step advances time by one tick and delivers all messages except those from and
	// to the partitioned member.
	step := func() {
		now += tick
		for _, id := range configuration.Voters {
			nodes[id].Tick(now)
		}
		for moved := true; moved; {
			moved = false
			for _, id := range configuration.Voters {
				for nodes[id].HasReady() {
					ready := nodes[id].Ready() // persist, then send
					for _, message := range ready.Messages {
						if message.From != partitioned && message.To != partitioned {
							_ = nodes[message.To].Step(now, message)
						}
					}
					nodes[id].Advance(ready)
					moved = true
				}
			}
		}
	}
	holders := func() (ids []raft.MemberID) {
		for _, id := range configuration.Voters {
			if nodes[id].LeaseValid(now) {
				ids = append(ids, id)
			}
		}
		return ids
	}

	for len(holders()) == 0 {
		step()
	}
	partitioned = holders()[0]
	for len(holders()) > 0 && holders()[0] == partitioned {
		step()
	}
	fmt.Println("holders after the old lease:", len(holders()))
	for len(holders()) == 0 {
		step()
	}
	fmt.Println("holders after the election:", len(holders()), "the old one:", holders()[0] == partitioned)
	// Output:
	// holders after the old lease: 0
	// holders after the election: 1 the old one: false
}

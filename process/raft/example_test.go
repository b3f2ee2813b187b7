package raft_test

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
)

// Example embeds a group of one member. A daemon does the same with a real disk,
// network and clock: persist, send, apply, advance.
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

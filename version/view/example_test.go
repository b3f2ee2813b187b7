package view_test

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
)

// A daemon follows the state by deltas. Late and repeated deltas change nothing, and
// the view is valid only within the lease.
func ExampleHolder() {
	machine := state.New()
	write := func(index uint64, class string) {
		machine.Apply(1, index, state.Command{Kind: state.CommandTransaction, Transaction: &api.Transaction{
			OperationID: class,
			Writes: []api.Write{{Object: api.Object{Class: &api.Class{
				Metadata: api.Metadata{Name: class},
				Spec:     api.ClassSpec{Service: "narrator", DeadlineMilliseconds: 1000},
			}}}},
		}})
	}

	holder := view.NewHolder()
	write(1, "caption")
	first, _ := machine.DeltaSince(holder.Load().Version)
	fmt.Println(holder.Apply(first), len(holder.Load().Classes))

	write(2, "summary")
	second, _ := machine.DeltaSince(holder.Load().Version)
	fmt.Println(holder.Apply(second), len(holder.Load().Classes))
	fmt.Println(holder.Apply(first))

	// The lease starts when the heartbeat was sent, not when the answer arrived.
	sentAt, lease := 10*time.Second, 3*time.Second
	fmt.Println(holder.Confirm(sentAt, lease, 1), holder.Valid(12*time.Second), holder.Valid(13*time.Second))
	fmt.Println(holder.Confirm(14*time.Second, lease, 0))
	// Output:
	// <nil> 1
	// <nil> 2
	// view: delta does not lead forward
	// true true false
	// false
}

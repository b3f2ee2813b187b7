// Package platform is the lab's stand-in for the platform under the fleet: a
// lagging list of live and leaving machines, and a rate-limited weight store.
package platform

import (
	"sort"
	"sync"
	"time"
)

// State says what the platform knows of a machine.
type State string

// States of a machine. A machine that is gone is not on the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Machine is one machine on the platform's list.
type Machine struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	State   State     `json:"state"`
	Since   time.Time `json:"since"` // when it got into the state
}

// MachineList is the answer of PathMachines: the machines as they were at AsOf.
type MachineList struct {
	Machines []Machine `json:"machines"` // by name
	AsOf     time.Time `json:"asOf"`
}

// historyLimit bounds the states kept of one machine; older ones no longer
// matter to a list that lags by seconds.
const historyLimit = 64

// registry keeps the recent states of every machine.
type registry struct {
	mu       sync.Mutex
	machines map[string][]Machine // states of a machine, oldest first
}

func newRegistry() *registry { return &registry{machines: map[string][]Machine{}} }

// set puts a machine into a state. An empty address keeps the one that is known.
func (r *registry) set(machine Machine) Machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.machines[machine.Name]
	if len(states) > 0 {
		last := states[len(states)-1]
		if machine.Address == "" {
			machine.Address = last.Address
		}
		if last.State == machine.State && last.Address == machine.Address {
			return last
		}
	}
	states = append(states, machine)
	if len(states) > historyLimit {
		states = append([]Machine(nil), states[1:]...)
	}
	r.machines[machine.Name] = states
	return machine
}

// current returns a machine's present state.
func (r *registry) current(name string) (Machine, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.machines[name]
	if len(states) == 0 {
		return Machine{}, false
	}
	return states[len(states)-1], true
}

// list returns the machines that were live or leaving at a time.
func (r *registry) list(asOf time.Time) []Machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	machines := make([]Machine, 0, len(r.machines))
	for _, states := range r.machines {
		if machine, known := at(states, asOf); known && machine.State != StateGone {
			machines = append(machines, machine)
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

func at(states []Machine, asOf time.Time) (Machine, bool) {
	for i := len(states) - 1; i >= 0; i-- {
		if !states[i].Since.After(asOf) {
			return states[i], true
		}
	}
	return Machine{}, false
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.machines)
}

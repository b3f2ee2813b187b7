package ingress

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
)

const (
	// stageGrowth is how many times as many connections a stage of connectAny opens as the one before.
	stageGrowth = 4
	// stageInterval is how long the connections of one stage are awaited before the next stage begins as
	// well; connectTimeout limits each connection.
	stageInterval  = 100 * time.Millisecond
	connectTimeout = 400 * time.Millisecond
)

// connectAny reports whether a connection to any of the addresses could be opened. It tries them in
// stages, one address first and then stageGrowth times as many as in the stage before. A stage begins
// once all connections have failed, or after stageInterval.
func (r *reachability) connectAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addresses))
	stageTimer := time.NewTicker(stageInterval)
	defer stageTimer.Stop()
	begun, failed, stageSize := 0, 0, 1
	for stageDue := true; failed < len(addresses); {
		if stageDue || begun == failed {
			begun += r.beginStage(ctx, addresses[begun:], stageSize, results)
			stageSize *= stageGrowth
			stageDue = false
		}
		select {
		case connected := <-results:
			if connected {
				return true
			}
			failed++
		case <-stageTimer.C:
			stageDue = true
		}
	}
	return false
}

// beginStage opens connections to the first of the addresses, at most to the given number, and returns
// their number. Each sends on results whether it could be opened.
func (r *reachability) beginStage(ctx context.Context, addresses []string, most int, results chan<- bool) int {
	stage := addresses[:min(most, len(addresses))]
	for _, address := range stage {
		go func() { results <- r.ingress.connects(ctx, address, connectTimeout) }()
	}
	return len(stage)
}

// connects reports whether a connection to the address can be opened within the timeout. Nothing is
// sent on it.
func (i *Ingress) connects(ctx context.Context, address string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := i.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// dial opens a connection to a replica outside of the pools.
func (i *Ingress) dial(ctx context.Context, address string) (net.Conn, error) {
	if i.config.Dial != nil {
		return i.config.Dial(ctx, address)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// sampleAddresses returns the addresses of at most the given number of listed replicas of all
// services, those that most likely accept connections first: the ones heard of last, those that were
// not used, in random order, and those that gave no response lately.
func (u *upstreams) sampleAddresses(most int) []string {
	type candidate struct {
		address string
		contact contact
	}
	now := u.clock()
	u.lock.Lock()
	defer u.lock.Unlock()
	var candidates []candidate
	for _, entry := range u.listed {
		if entry.Spec.Address != "" {
			candidates = append(candidates, candidate{entry.Spec.Address, u.contactLocked(entry, now)})
		}
	}
	rand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.contact.compare(b.contact) })
	addresses := make([]string, 0, most)
	for _, chosen := range candidates[:min(most, len(candidates))] {
		addresses = append(addresses, chosen.address)
	}
	return addresses
}

// contactLocked returns how a listed replica was last reached. The caller holds the lock.
func (u *upstreams) contactLocked(entry *api.Replica, now time.Duration) contact {
	used := u.byService[entry.Spec.Service]
	if used == nil {
		return contact{}
	}
	return used.fleet.contact(entry.Name, now)
}

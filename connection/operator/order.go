package operator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/process/pause"
)

// memberOrder is the order in which members are tried. The member that gave the last final
// response, or that was named as the leader since, comes first.
type memberOrder struct {
	mutex     sync.Mutex
	addresses []string
	preferred string
}

func newMemberOrder(addresses []string) *memberOrder {
	return &memberOrder{addresses: append([]string(nil), addresses...)}
}

// prefer moves the address to the front; an empty address has no effect.
func (o *memberOrder) prefer(address string) {
	if address == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.preferred = address
}

// ordered returns every address once, the preferred one first.
func (o *memberOrder) ordered() []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var ordered []string
	if o.preferred != "" {
		ordered = append(ordered, o.preferred)
	}
	for _, address := range o.addresses {
		if address != o.preferred {
			ordered = append(ordered, address)
		}
	}
	return ordered
}

// backoff is the exponential delay between two rounds over the members.
type backoff struct {
	next      time.Duration
	requested time.Duration
}

func newBackoff() *backoff { return &backoff{next: minBackoff} }

// applyRetryAfter applies a member's Retry-After to the next delay, limited to maxBackoff.
func (b *backoff) applyRetryAfter(pause time.Duration) {
	b.requested = min(max(b.requested, pause), maxBackoff)
}

// sleep waits for the next delay and returns false if the context ends first.
func (b *backoff) sleep(ctx context.Context) bool {
	jittered := b.next/2 + rand.N(b.next/2+1)
	due := max(jittered, b.requested)
	b.next = min(2*b.next, maxBackoff)
	b.requested = 0
	return pause.Sleep(ctx, due)
}

// retryAfter returns the Retry-After of a response, 0 if it has none. The date form is
// ignored.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

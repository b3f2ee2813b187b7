package fleet

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/version/api"
)

// automation is an operator that moves a label all the time. An accepted change
// never reverts.
type automation struct {
	client *operator.Client
	engine string // whose label is moved
	stop   chan struct{}
	done   sync.WaitGroup

	mutex    sync.Mutex
	tried    int // the highest value sent
	certain  int // the highest value accepted
	accepted int
	failure  string
}

const (
	automationLabel = "turn"
	automationPause = 100 * time.Millisecond
)

func startAutomation(client *operator.Client, engine string) *automation {
	a := &automation{client: client, engine: engine, stop: make(chan struct{})}
	a.done.Go(func() {
		for {
			a.change()
			select {
			case <-a.stop:
				return
			case <-time.After(automationPause):
			}
		}
	})
	return a
}

// change makes one change.
func (a *automation) change() {
	object, ok := a.read()
	if !ok {
		return
	}
	value := a.next()
	labels := api.Labels{}
	for name, value := range object.Engine.Labels {
		labels[name] = value
	}
	labels[automationLabel] = strconv.Itoa(value)
	object.Engine.Labels = labels
	result, err := a.client.Transact(context.Background(), api.Transaction{
		OperationID: fmt.Sprintf("automation-%d", value),
		Writes:      []api.Write{{Object: *object}},
	})
	if err == nil && result.Code == api.OutcomeAccepted {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.certain = value
		a.accepted++
	}
}

// next counts one more value as sent.
func (a *automation) next() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.tried++
	return a.tried
}

// read reads the object and compares it with what was accepted.
func (a *automation) read() (*api.Object, bool) {
	key := api.Key{Kind: api.KindEngine, Name: a.engine}
	object, err := a.client.Object(context.Background(), key)
	if err != nil || object == nil {
		return nil, false
	}
	value, _ := strconv.Atoi(object.Engine.Labels[automationLabel])
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if value < a.certain || value > a.tried {
		a.failure = fmt.Sprintf("label %d read, %d accepted, %d sent", value, a.certain, a.tried)
	}
	return object, true
}

// state returns how many changes were accepted, and how one reverted, if one did.
func (a *automation) state() (accepted int, failure string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.accepted, a.failure
}

// Errors of an automation.
var (
	errReverted   = errors.New("fleet: an accepted change reverted")
	errUnreadable = errors.New("fleet: the object has to be readable")
)

// finish ends the changes and checks that the last one stands.
func (a *automation) finish() error {
	close(a.stop)
	a.done.Wait()
	if _, ok := a.read(); !ok {
		return errUnreadable
	}
	if _, failure := a.state(); failure != "" {
		return errors.Wrap(errReverted, failure)
	}
	return nil
}

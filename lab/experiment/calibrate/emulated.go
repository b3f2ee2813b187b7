package calibrate

import (
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

// emulated is an engine model in virtual time.
type emulated struct {
	engine *enginemodel.Engine
	now    time.Duration
	order  uint64
}

func newEmulated(config enginemodel.Config) *emulated {
	return &emulated{engine: enginemodel.New(config)}
}

// run returns how long a probe takes.
func (e *emulated) run(number int, probe Probe) time.Duration {
	start := e.now
	if probe.Assignment != nil {
		e.order++
		e.engine.Order(e.now, api.Order{
			Fence:       api.Fence{Term: 1, Index: e.order},
			Engine:      e.engine.Config().Engine,
			Incarnation: e.engine.Incarnation(),
			Assignment:  *probe.Assignment,
		})
	}
	for i, tokens := range probe.Requests {
		e.engine.Admit(e.now, enginemodel.Request{
			Key:          enginemodel.RunKey{ID: fmt.Sprintf("probe-%d-%d", number, i), Attempt: 1},
			Model:        e.engine.Config().Assignment.Model,
			PromptTokens: tokens.Prompt,
			OutputTokens: tokens.Answer,
		})
	}
	for {
		next, _ := e.engine.Step(e.now)
		if next == enginemodel.Never {
			return e.now - start
		}
		e.now = next
	}
}

// Package calibrate checks the emulator's engine model against a running
// stand-in engine: the same requests and orders go to both, to the model in
// virtual time and to the stand-in over HTTP in real time.
//
// Both run the same model of a batch, so that the check is of what the emulator
// leaves out: the stand-in's timers and locks, HTTP, and the weight store. It
// says nothing of how near the model is to an engine on an accelerator.
package calibrate

import (
	"context"
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/version/api"
)

// Sizes of the probes.
var (
	promptLengths = []int{500, 2000, 8000}
	batchSizes    = []int{1, 8, 32}
)

const (
	batchPrompt = 16  // tokens; the prompts of a batch take next to no time
	batchAnswer = 100 // tokens
)

// Probe is one thing that takes time on an engine.
type Probe struct {
	Name string
	// Requests are sent at once; the probe ends with the last answer.
	Requests []Tokens
	// Assignment, if it is set, is ordered in place of requests; the probe ends
	// when the engine serves in it.
	Assignment *api.Assignment
}

// Tokens is the size of one request.
type Tokens struct {
	Prompt int
	Answer int
}

// Outcome is one probe's time in the model and on the stand-in.
type Outcome struct {
	Name     string
	Emulated time.Duration
	Measured time.Duration
}

// Ratio is the measured time over the emulated one.
func (o Outcome) Ratio() float64 { return o.Measured.Seconds() / o.Emulated.Seconds() }

// Probes returns the probes for an engine that holds an assignment. The last
// ones change its role and then its version.
func Probes(held api.Assignment) []Probe {
	var probes []Probe
	for _, length := range promptLengths {
		probes = append(probes, Probe{Name: fmt.Sprintf("read a prompt of %d tokens", length), Requests: []Tokens{{Prompt: length, Answer: 1}}})
	}
	for _, size := range batchSizes {
		requests := make([]Tokens, size)
		for i := range requests {
			requests[i] = Tokens{Prompt: batchPrompt, Answer: batchAnswer}
		}
		probes = append(probes, Probe{Name: fmt.Sprintf("%d answers of %d tokens at once", size, batchAnswer), Requests: requests})
	}
	otherRole, otherVersion := held, held
	otherRole.Role = api.RoleDecode
	if held.Role == api.RoleDecode {
		otherRole.Role = api.RoleMixed
	}
	otherVersion.Role = otherRole.Role
	otherVersion.Version += "-next"
	return append(probes,
		Probe{Name: "change the role", Assignment: &otherRole},
		Probe{Name: "load the weights of a version", Assignment: &otherVersion},
	)
}

// Run checks the stand-in at an IP and port. Its model must be configured as
// config, but for the name, incarnation and assignment that it tells itself.
func Run(ctx context.Context, address string, config enginemodel.Config) ([]Outcome, error) {
	engine := &remote{address: address}
	state, err := engine.state(ctx)
	if err != nil {
		return nil, err
	}
	config.Engine, config.Incarnation, config.Assignment = state.Engine, state.Incarnation, state.Assignment
	config.ExternalLoad = false
	engine.fence, engine.incarnation = state.Fence, state.Incarnation
	model := newEmulated(config)
	var outcomes []Outcome
	for number, probe := range Probes(state.Assignment) {
		measured, err := engine.run(ctx, number, probe)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, Outcome{Name: probe.Name, Emulated: model.run(number, probe), Measured: measured})
	}
	return outcomes, nil
}

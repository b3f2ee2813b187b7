package main

import (
	"context"
	"fmt"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/experiment/calibrate"
)

// checkedProbe is one probe's outcome as JSON.
type checkedProbe struct {
	Probe                string  `json:"probe"`
	EmulatedMilliseconds float64 `json:"emulated_ms"`
	MeasuredMilliseconds float64 `json:"measured_ms"`
	Ratio                float64 `json:"ratio"`
}

// runCheck compares the emulator's engine model with a running stand-in that
// holds its defaults.
func runCheck(ctx context.Context, to cli.Streams, flags *experimentFlags) error {
	if err := checkAddress("check", flags.check); err != nil {
		return err
	}
	config := enginemodel.DefaultConfig("", 0)
	config.Speed = float64(max(flags.speed, 1))
	outcomes, err := calibrate.Run(ctx, flags.check, config)
	if err != nil {
		return err
	}
	probes := make([]checkedProbe, len(outcomes))
	for i, outcome := range outcomes {
		probes[i] = checkedProbe{
			Probe:                outcome.Name,
			EmulatedMilliseconds: outcome.Emulated.Seconds() * 1000,
			MeasuredMilliseconds: outcome.Measured.Seconds() * 1000,
			Ratio:                outcome.Ratio(),
		}
	}
	if flags.json {
		return cli.PrintJSON(to.Out, probes)
	}
	printed := cli.NewTable(to.Out, "PROBE", "EMULATED-MS", "MEASURED-MS", "RATIO")
	for _, one := range probes {
		printed.Row(one.Probe, fmt.Sprintf("%.1f", one.EmulatedMilliseconds), fmt.Sprintf("%.1f", one.MeasuredMilliseconds), fmt.Sprintf("%.3f", one.Ratio))
	}
	return printed.Flush()
}

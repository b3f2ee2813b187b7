package main

import (
	"context"
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/backend"
	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/process/settings"
)

// Bounds of flags.
const (
	maxSpeed       = 1000
	maxWeightBytes = 1 << 40
)

// standInFlags are common to engines and back ends.
type standInFlags struct {
	name     string
	listen   string
	platform string
	ledger   string
}

func newStandInFlags(flagSet *flag.FlagSet, example string) *standInFlags {
	flags := &standInFlags{}
	flagSet.StringVar(&flags.name, "name", example, "name, also on the platform's list of machines")
	flagSet.StringVar(&flags.listen, "listen", "", "IP number and port to listen on")
	flagSet.StringVar(&flags.platform, "platform", "", "IP number and port of the platform; empty: none")
	flagSet.StringVar(&flags.ledger, "ledger", "", "file that keeps the ledger; empty: memory")
	return flags
}

func (f *standInFlags) check() error {
	if !settings.ValidName(f.name) {
		return cli.UsageError{Field: "name", Message: "must be lower-case letters, digits, '-' and '.', got " + strconv.Quote(f.name)}
	}
	if err := checkAddress("listen", f.listen); err != nil {
		return err
	}
	if f.platform != "" {
		return checkAddress("platform", f.platform)
	}
	return nil
}

func checkAddress(field, address string) error {
	if !settings.ValidAddress(address) {
		return cli.UsageError{Field: field, Message: "must be an IP number and a port, got " + strconv.Quote(address)}
	}
	return nil
}

func engineCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("engine")
	flags := newStandInFlags(flagSet, "narrator-1")
	var speed uint64
	cli.UintFlag(flagSet, &speed, "speed", 1, maxSpeed, "how many times faster than a real engine it works")
	return standInCommand("engine", "Run a stand-in of a model engine", flagSet,
		"landingtrail-lab engine --name narrator-1 --listen 127.0.0.1:7301 --platform 127.0.0.1:7900",
		func(ctx context.Context) error {
			if err := flags.check(); err != nil {
				return err
			}
			if speed == 0 {
				return cli.UsageError{Field: "speed", Message: "must be at least 1"}
			}
			model := enginemodel.DefaultConfig(flags.name, 0)
			model.Speed = float64(speed)
			return engine.Run(ctx, engine.Config{
				Listen:     flags.listen,
				Model:      model,
				Platform:   flags.platform,
				LedgerPath: flags.ledger,
				Logger:     log.NewLogfmtLogger(log.NewSyncWriter(to.Err)),
			})
		})
}

func backendCommand(_ cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("backend")
	flags := newStandInFlags(flagSet, "tilegate-1")
	return standInCommand("backend", "Run a stand-in of a plain back end", flagSet,
		"landingtrail-lab backend --name tilegate-1 --listen 127.0.0.1:7401",
		func(ctx context.Context) error {
			if err := flags.check(); err != nil {
				return err
			}
			return backend.Run(ctx, backend.Config{
				Listen:     flags.listen,
				Name:       flags.name,
				Platform:   flags.platform,
				LedgerPath: flags.ledger,
			})
		})
}

func platformCommand(_ cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("platform")
	listen := flagSet.String("listen", "", "IP number and port to listen on")
	machines := flagSet.String("machines", "", "machines that are live from the start, as NAME=ADDRESS,…")
	var lag time.Duration
	var weightBytes, weightRate uint64
	cli.DurationFlag(flagSet, &lag, "lag", platform.DefaultLag, "age of the list of machines")
	cli.UintFlag(flagSet, &weightBytes, "weight-bytes", platform.DefaultWeightBytes, maxWeightBytes, "bytes of one model's weights")
	cli.UintFlag(flagSet, &weightRate, "weight-rate", platform.DefaultWeightBytesPerSecond, maxWeightBytes, "bytes a second of the weight store, over all readers")
	return standInCommand("platform", "Run a stand-in of the platform: list of machines and weight store", flagSet,
		"landingtrail-lab platform --listen 127.0.0.1:7900 --machines narrator-1=127.0.0.1:7301",
		func(ctx context.Context) error {
			if err := checkAddress("listen", *listen); err != nil {
				return err
			}
			known, err := parseMachines(*machines)
			if err != nil {
				return err
			}
			return platform.Run(ctx, platform.Config{
				Listen:               *listen,
				Lag:                  lag,
				WeightBytes:          int64(weightBytes),
				WeightBytesPerSecond: float64(weightRate),
				Machines:             known,
			})
		})
}

func parseMachines(text string) ([]platform.Machine, error) {
	var machines []platform.Machine
	if text == "" {
		return nil, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, address, _ := strings.Cut(part, "=")
		if !settings.ValidName(name) || !settings.ValidAddress(address) {
			return nil, cli.UsageError{Field: "machines", Message: "must be NAME=ADDRESS with an IP number and a port, got " + strconv.Quote(part)}
		}
		machines = append(machines, platform.Machine{Name: name, Address: address, State: platform.StateLive})
	}
	return machines, nil
}

func standInCommand(name, help string, flagSet *flag.FlagSet, example string, serve func(context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: programName + " " + name + " [flags]",
		ShortHelp:  help,
		LongHelp:   cli.ExampleHelp(example),
		FlagSet:    flagSet,
		Options:    cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return serve(ctx)
		},
	}
}

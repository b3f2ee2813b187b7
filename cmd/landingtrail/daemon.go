package main

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/control"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/logsink"
	"github.com/landingtrail/landingtrail/process/settings"
)

// never is longer than any process lives. go-zero's own answer to SIGTERM would
// close its servers after a second and end the process after a few more; a long
// stream must outlast that, so the daemons stop by their context alone.
const never = 100 * 365 * 24 * time.Hour

func controlCommand(to cli.Streams) *ffcli.Command {
	return daemonCommand(to, settings.SectionControl, "Run one member of the control group", runControl,
		"landingtrail control --settings deployments/radarvlak/control.yaml --name control-1 --data-directory data/control-1")
}

// runDaemon serves until its context ends and then stops as planned.
type runDaemon func(ctx context.Context, file settings.File, logger log.Logger) error

func daemonCommand(to cli.Streams, section settings.Section, help string, serve runDaemon, example string) *ffcli.Command {
	flagSet := cli.NewFlagSet(string(section))
	path := flagSet.String("settings", "", "YAML file with the settings; flags and LANDINGTRAIL_ variables go over it")
	flags := settings.RegisterFlags(flagSet, section)
	return &ffcli.Command{
		Name:       string(section),
		ShortUsage: "landingtrail " + string(section) + " --settings F [flags]",
		ShortHelp:  help,
		LongHelp: "SIGTERM and SIGINT stop the daemon as planned: nothing in flight is cut within stopTimeout.\n\n" +
			cli.ExampleHelp(example),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			file, err := settings.Load(*path, section, flags.Overrides())
			if err != nil {
				return fileError("settings", err)
			}
			proc.Setup(proc.ShutdownConf{WrapUpTime: never, WaitTime: never})
			sink := logsink.New(to.Out, event.SinkConfig())
			defer sink.Close(logPatience)
			return runLogged(ctx, file, newLogger(sink, file.Log.Level), serve)
		},
	}
}

// runLogged runs the daemon and logs why it stops.
func runLogged(ctx context.Context, file settings.File, logger log.Logger, serve runDaemon) error {
	withdraw := context.AfterFunc(ctx, func() { event.DaemonAsked.Log(logger) })
	defer withdraw()
	err := serve(ctx, file, logger)
	if err != nil {
		event.DaemonFailed.Log(logger, "err", err)
	}
	return err
}

// logPatience is how long the last lines may take to be written.
const logPatience = 500 * time.Millisecond

// newLogger adds a timestamp and drops lines below the least level.
func newLogger(sink log.Logger, least string) log.Logger {
	logger := level.NewFilter(sink, level.Allow(level.ParseDefault(least, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

func runControl(ctx context.Context, file settings.File, logger log.Logger) error {
	return control.Run(ctx, controlConfig(file.Control), log.With(logger, "member", file.Control.Name))
}

// controlConfig turns settings into what the daemon runs with.
func controlConfig(given *settings.Control) control.Config {
	self := given.Self()
	config := control.Config{
		Name:            given.Name,
		DataFolder:      given.DataDirectory,
		GroupID:         xxhash.Sum64String(given.Group),
		PeerAddress:     firstOf(given.PeerAddress, self.PeerAddress),
		FeedAddress:     firstOf(given.FeedAddress, self.FeedAddress),
		OperatorAddress: firstOf(given.OperatorAddress, self.OperatorAddress),
		Join:            given.Join,
		PlatformAddress: given.PlatformAddress,
		Durations: control.Durations{
			Election:      given.ElectionTimeout,
			Heartbeat:     given.HeartbeatInterval,
			Lease:         given.LeaseDuration,
			ViewLease:     given.ViewLease,
			Reconcile:     given.ReconcileInterval,
			Plan:          given.PlanInterval,
			Poll:          given.EngineInterval,
			EngineTimeout: given.EngineTimeout,
			EngineSilence: given.EngineSilence,
			FailurePause:  given.FailurePause,
			PlatformPoll:  given.PlatformInterval,
			ProxySilence:  given.ProxySilence,
			OrderSettle:   given.OrderSettle,
			MemberSilence: given.MemberSilence,
			Proposal:      given.ProposalTimeout,
			Shutdown:      given.StopTimeout,
		},
		Limits: control.Limits{
			MaxAffectedEngines:     noBound(given.MaxAffectedEngines),
			OperationRetention:     given.OperationRetention,
			ClaimRetention:         given.ClaimRetention,
			MaxBodyBytes:           given.MaxBodyBytes,
			SnapshotEntries:        given.SnapshotEntries,
			MaxDaemons:             given.MaxDaemons,
			MaxOperatorConnections: given.MaxOperatorConnections,
		},
		Planner: control.Planner{Name: given.Planner, ChangeCost: given.ChangeCost},
	}
	for _, member := range given.Members {
		config.Members = append(config.Members, control.Member{
			Name:            member.Name,
			PeerAddress:     member.PeerAddress,
			FeedAddress:     member.FeedAddress,
			OperatorAddress: member.OperatorAddress,
		})
	}
	return config
}

// noBound turns the settings' 0 into the daemon's word for no bound.
func noBound(engines int) int {
	if engines == 0 {
		return -1
	}
	return engines
}

func firstOf(given, fallback string) string {
	if given != "" {
		return given
	}
	return fallback
}

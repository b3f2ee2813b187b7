package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/timeline"
)

func timelineCommand(to cli.Streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "landingtrail timeline [FILE...]",
		ShortHelp:  "Tell from logs where the time went after an outage of the control group",
		LongHelp: "Reads the log files of all processes, or standard input without any. Lines that are torn or foreign are passed over and counted.\n\n" +
			cli.ExampleHelp("landingtrail timeline data/tour/logs/control-1.log data/tour/logs/proxy-1.log"),
		FlagSet: cli.NewFlagSet("timeline"),
		Options: cli.Environment(environmentPrefix),
		Exec: func(_ context.Context, args []string) error {
			var reader timeline.Reader
			if err := readLogs(&reader, args); err != nil {
				return err
			}
			printTimeline(to.Out, reader.Timeline())
			return nil
		},
	}
}

// printTimeline writes each phase with its times in seconds from the leadership's begin.
func printTimeline(out io.Writer, told timeline.Timeline) {
	for _, led := range told.Leaderships {
		fmt.Fprintf(out, "%s  %s leads term %s\n", led.Began.Format(time.RFC3339Nano), led.Leader, led.Term)
		for _, phase := range led.Phases {
			fmt.Fprintf(out, "    %-28s %4d   first %+8.3f   median %+8.3f   last %+8.3f\n", phase.Name, phase.Count,
				phase.First.Sub(led.Began).Seconds(), phase.Median.Sub(led.Began).Seconds(), phase.Last.Sub(led.Began).Seconds())
		}
		if !led.BacklogNormalAt.IsZero() {
			fmt.Fprintf(out, "    %-28s        %+8.3f, %s at most before\n", "backlog of reads as usual", led.BacklogNormalAt.Sub(led.Began).Seconds(), led.MaxBacklog)
		}
	}
	fmt.Fprintf(out, "%d lines read, %d passed over\n", told.Lines, told.Skipped)
}

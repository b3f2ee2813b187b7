package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/logline"
	"github.com/landingtrail/landingtrail/process/story"
)

func storyCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("story")
	request := flagSet.String("request", "", "ID of the request")
	return &ffcli.Command{
		Name:       "story",
		ShortUsage: "landingtrail story --request ID [FILE...]",
		ShortHelp:  "Tell from logs what became of a request, and what each process knew",
		LongHelp: "Reads the log files, or standard input without any. Lines that are torn or foreign are passed over and counted.\n\n" +
			cli.ExampleHelp("landingtrail story --request 9c41d07be2a35f68 data/tour/logs/proxy-1.log"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(_ context.Context, args []string) error {
			if *request == "" {
				return cli.UsageError{Field: "request", Message: "is required"}
			}
			return tellStory(to, *request, args)
		},
	}
}

func tellStory(to cli.Streams, request string, paths []string) error {
	builder := story.New(request)
	if err := readLogs(builder, paths); err != nil {
		return err
	}
	told := builder.Build()
	printStory(to.Out, told)
	if len(told.Entries) == 0 {
		return cli.UsageError{Field: "request", Message: request + " stands in none of the lines read"}
	}
	return nil
}

func printStory(out io.Writer, told story.Story) {
	for _, entry := range told.Entries {
		fmt.Fprintf(out, "%s  %s\n", entry.Line.Time.Format(time.RFC3339Nano), entry.Line.Process)
		fmt.Fprintf(out, "    %s\n", describe(&entry.Line))
		for _, state := range entry.States {
			fmt.Fprintf(out, "    knew since %s: %s\n", state.Age, describe(&state.Line))
		}
	}
	fmt.Fprintf(out, "%d lines read, %d passed over\n", told.Lines, told.Skipped)
}

// describe writes a line's event with its fields, without those of every line.
func describe(line *logline.Line) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d %s", line.Event, line.Name)
	for _, field := range line.Fields {
		if field.Value != line.Process {
			fmt.Fprintf(&text, " %s=%q", field.Key, field.Value)
		}
	}
	return text.String()
}

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// applyFlags are the flags of apply.
type applyFlags struct {
	operator   *operatorFlags
	file       string
	operation  string
	revisions  string
	dryRun     bool
	wait       bool
	allowBroad bool
	remove     bool
}

func applyCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("apply")
	flags := &applyFlags{operator: newOperatorFlags(flagSet)}
	flagSet.StringVar(&flags.file, "file", "", "file with objects, written as one transaction; - reads standard input")
	flagSet.StringVar(&flags.operation, "operation-id", "", "name of this change; a resend under the same name gets the first answer (default: drawn)")
	flagSet.StringVar(&flags.revisions, "revisions", "", "revisions to compare with, as KIND/NAME=REVISION,… (0: must not exist); others are read")
	cli.BoolFlag(flagSet, &flags.dryRun, "dry-run", "show which engines would change, and change nothing")
	cli.BoolFlag(flagSet, &flags.wait, "wait", "return when the change is in force on every daemon")
	cli.BoolFlag(flagSet, &flags.allowBroad, "allow-broad", "lift the bound on how many engines one change may move")
	cli.BoolFlag(flagSet, &flags.remove, "delete", "delete the objects instead")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "landingtrail apply --endpoints A --file F [flags]",
		ShortHelp:  "Write objects as one transaction, by compare-and-set",
		LongHelp: "An object with metadata.revision, or named by --revisions, is written only if it still has that\n" +
			"revision. For the others the revision that stands now is read, and read again if another writer\n" +
			"comes first.\n\n" +
			cli.ExampleHelp("landingtrail apply --endpoints 127.0.0.1:7121 --file deployments/radarvlak/objects.yaml --wait"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			return apply(ctx, to, flags)
		},
	}
}

// applyReport is the JSON of a command that writes.
type applyReport struct {
	written
	DryRun  bool                 `json:"dryRun,omitempty"`
	InForce *operatorapi.InForce `json:"inForce,omitempty"`
	// InForceMilliseconds is the time from the answer until in force everywhere.
	InForceMilliseconds float64 `json:"inForceMs,omitempty"`
}

func apply(ctx context.Context, to cli.Streams, flags *applyFlags) error {
	change, err := flags.write()
	if err != nil {
		return err
	}
	return change.report(ctx, to, flags.operator, flags.wait)
}

// write reads and checks everything that the user gave, before anything is sent.
func (f *applyFlags) write() (write, error) {
	if f.file == "" {
		return write{}, cli.UsageError{Field: "file", Message: "must name a file with objects"}
	}
	if f.dryRun && f.wait {
		return write{}, cli.UsageError{Field: "wait", Message: "must not stand with --dry-run, which changes nothing"}
	}
	objects, err := settings.LoadObjects(f.file)
	if err != nil {
		return write{}, fileError("file", err)
	}
	given, err := parseRevisions(f.revisions)
	if err != nil {
		return write{}, err
	}
	change := write{operationID: f.operation, dryRun: f.dryRun, allowBroad: f.allowBroad, given: given}
	for _, object := range objects {
		key, _ := object.Key()
		change.keys = append(change.keys, key)
		if _, named := given[key]; !named && object.Metadata().Revision > 0 {
			given[key] = object.Metadata().Revision
		}
	}
	if err := namedInFile(given, change.keys); err != nil {
		return write{}, err
	}
	change.build = func(map[api.Key]*api.Object) ([]api.Write, error) {
		return writesOf(objects, f.remove), nil
	}
	return change, nil
}

// namedInFile refuses a revision of an object that the file does not hold.
func namedInFile(given revisions, keys []api.Key) error {
	known := map[api.Key]bool{}
	for _, key := range keys {
		known[key] = true
	}
	for key := range given {
		if !known[key] {
			return cli.UsageError{Field: "revisions", Message: "names " + key.String() + ", which the file does not hold"}
		}
	}
	return nil
}

func writesOf(objects []api.Object, remove bool) []api.Write {
	var writes []api.Write
	for _, object := range objects {
		writes = append(writes, api.Write{Object: object, Delete: remove})
	}
	return writes
}

// report makes the write and prints what became of it.
func (w write) report(ctx context.Context, to cli.Streams, flags *operatorFlags, wait bool) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	done, failure := w.run(ctx, client)
	report := applyReport{written: done, DryRun: w.dryRun}
	if failure == nil && wait {
		failure = report.waitInForce(ctx, client, flags.timeout)
	}
	if flags.output == cli.OutputJSON && done.Result.Code != "" {
		if err := cli.PrintJSON(to.Out, report); err != nil {
			return err
		}
		return failure
	}
	if failure == nil {
		printReport(to, report)
	}
	return failure
}

func (r *applyReport) waitInForce(ctx context.Context, client *operator.Client, timeout time.Duration) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state, err := client.WaitInForce(ctx, r.Result.Revision)
	r.InForce = &state
	if err != nil {
		return errors.Errorf("accepted at revision %d, but not known to be in force yet (waiting for %s): %v",
			r.Result.Revision, strings.Join(state.Waiting, ", "), err)
	}
	r.InForceMilliseconds = float64(time.Since(started).Microseconds()) / 1000
	return nil
}

func printReport(to cli.Streams, report applyReport) {
	if report.DryRun {
		cli.Printf(to.Out, "would be accepted; nothing was changed\n")
	} else {
		cli.Printf(to.Out, "accepted at revision %d (operation %s)\n", report.Result.Revision, report.OperationID)
	}
	cli.Printf(to.Out, "engines that change: %s\n", listOrNone(report.Result.AffectedEngines))
	if report.InForce != nil {
		cli.Printf(to.Out, "in force after %.0f ms: %d daemons acknowledged, lapsed: %s\n",
			report.InForceMilliseconds, report.InForce.Acknowledged, listOrNone(report.InForce.Lapsed))
	}
}

// maxPrinted bounds the names and conflicts that a person is shown; the JSON
// output holds all of them.
const maxPrinted = 20

func listOrNone(names []string) string {
	switch {
	case len(names) == 0:
		return "none"
	case len(names) > maxPrinted:
		return fmt.Sprintf("%s and %d more (%d)", strings.Join(names[:maxPrinted], ", "), len(names)-maxPrinted, len(names))
	}
	return fmt.Sprintf("%s (%d)", strings.Join(names, ", "), len(names))
}

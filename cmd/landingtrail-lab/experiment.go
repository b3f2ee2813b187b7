package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/lab/experiment"
	"github.com/landingtrail/landingtrail/lab/experiment/chart"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/api"
)

// Bounds of flags.
const (
	maxSeedSpan = 10_000 // seeds of one call
	maxParallel = 64
)

// experimentFlags are the flags of experiment.
type experimentFlags struct {
	deployment string
	policies   string
	seeds      string
	json       bool
	seed       uint64
	duration   time.Duration
	roles      string
	parallel   uint64
	plot       string
	report     string
	check      string
	speed      uint64
}

func experimentCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("experiment")
	flags := &experimentFlags{}
	cli.ChoiceFlag(flagSet, &flags.deployment, "deployment", "which deployment", trace.DeploymentRadarvlak, trace.DeploymentCaroni)
	flagSet.StringVar(&flags.policies, "policies", strings.Join(experiment.DefaultPolicies, ","), "policies to compare, separated by commas")
	flagSet.StringVar(&flags.seeds, "seeds", "", "seeds A-B: print each policy's mean and worst seed instead of one seed's runs")
	cli.UintFlag(flagSet, &flags.seed, "seed", 1, maxSeed, "seed of the trace")
	cli.DurationFlag(flagSet, &flags.duration, "for", experiment.DefaultDuration, "length of the trace, in virtual time")
	flagSet.StringVar(&flags.roles, "roles", "prefill,decode,mixed", "roles that all policies may give, separated by commas")
	cli.UintFlag(flagSet, &flags.parallel, "parallel", experiment.DefaultParallel, maxParallel, "how many emulations run at once")
	flagSet.StringVar(&flags.plot, "plot", "", "write an SVG of demand, roles, goodput and changes over time; with --seeds of the first seed")
	flagSet.StringVar(&flags.report, "report", "", "write a Markdown report")
	flagSet.StringVar(&flags.check, "check", "", "IP number and port of a running stand-in engine: compare the emulator's engine model with it instead")
	cli.UintFlag(flagSet, &flags.speed, "speed", 1, maxSpeed, "with --check, the speed that the stand-in was started with")
	cli.BoolFlag(flagSet, &flags.json, "json", "print JSON")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "landingtrail-lab experiment [flags]",
		ShortHelp:  "Compare role policies on the same trace, in virtual time",
		LongHelp: cli.ExampleHelp("landingtrail-lab experiment --deployment caroni --policies landingtrail,static,threshold,hindsight --seed 2 --json",
			"landingtrail-lab experiment --deployment radarvlak --seeds 1-20"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if err := cli.Exactly(args); err != nil {
				return err
			}
			if flags.check != "" {
				return runCheck(ctx, to, flags)
			}
			return runExperiment(to, flags)
		},
	}
}

func runExperiment(to cli.Streams, flags *experimentFlags) error {
	if flags.seeds == "" {
		report, err := flags.run(flags.seed)
		if err != nil {
			return err
		}
		if err := flags.writeFiles([]*experiment.Report{report}); err != nil {
			return err
		}
		return printExperiment(to, flags.json, report)
	}
	first, last, err := parseSeeds(flags.seeds)
	if err != nil {
		return err
	}
	var reports []*experiment.Report
	for seed := first; seed <= last; seed++ {
		report, err := flags.run(seed)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	if err := flags.writeFiles(reports); err != nil {
		return err
	}
	return printSummaries(to, flags, experiment.Summarize(reports))
}

// writeFiles writes the plot and the report that were asked for.
func (f *experimentFlags) writeFiles(reports []*experiment.Report) error {
	if f.plot != "" {
		err := writeFile(f.plot, func(to io.Writer) error { return chart.WriteSVG(to, reports[0]) })
		if err != nil {
			return err
		}
	}
	if f.report == "" {
		return nil
	}
	return writeFile(f.report, func(to io.Writer) error { return experiment.WriteMarkdown(to, reports) })
}

func writeFile(path string, write func(io.Writer) error) error {
	var content bytes.Buffer
	if err := write(&content); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(path, content.Bytes(), 0o644))
}

func (f *experimentFlags) run(seed uint64) (*experiment.Report, error) {
	roles, err := parseRoles(f.roles)
	if err != nil {
		return nil, err
	}
	report, err := experiment.Run(experiment.Config{
		Deployment: f.deployment,
		Seed:       seed,
		Policies:   strings.Split(f.policies, ","),
		Duration:   f.duration,
		Roles:      roles,
		Parallel:   int(f.parallel),
	})
	if errors.Is(err, experiment.ErrUnknownPolicy) {
		return nil, cli.UsageError{Field: "policies", Message: "must be of " + strings.Join(append(experiment.DefaultPolicies, experiment.PolicyMixed), ", ") + ": " + err.Error()}
	}
	return report, err
}

// parseRoles reads roles that together can serve a request.
func parseRoles(text string) ([]api.EngineRole, error) {
	roles := splitRoles(text)
	mixed := slices.Contains(roles, api.RoleMixed)
	pair := slices.Contains(roles, api.RolePrefill) && slices.Contains(roles, api.RoleDecode)
	for _, role := range roles {
		if role != api.RolePrefill && role != api.RoleDecode && role != api.RoleMixed {
			return nil, cli.UsageError{Field: "roles", Message: fmt.Sprintf("must be of prefill, decode, mixed, got %q", role)}
		}
	}
	if !mixed && !pair {
		return nil, cli.UsageError{Field: "roles", Message: fmt.Sprintf("must hold mixed, or prefill and decode, got %q", text)}
	}
	return roles, nil
}

func splitRoles(text string) []api.EngineRole {
	var roles []api.EngineRole
	for _, name := range strings.Split(text, ",") {
		roles = append(roles, api.EngineRole(name))
	}
	return roles
}

// parseSeeds reads "A-B", or "A" alone.
func parseSeeds(text string) (first, last uint64, err error) {
	fault := cli.UsageError{
		Field:   "seeds",
		Message: fmt.Sprintf("must be A-B with whole numbers, A not above B, at most %d seeds, got %q", maxSeedSpan, text),
	}
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, fault
	}
	last, err = strconv.ParseUint(to, 10, 64)
	if err != nil || first > last || last > maxSeed || last-first >= maxSeedSpan {
		return 0, 0, fault
	}
	return first, last, nil
}

func printExperiment(to cli.Streams, asJSON bool, report *experiment.Report) error {
	if asJSON {
		return cli.PrintJSON(to.Out, report)
	}
	printed := cli.NewTable(to.Out, "POLICY", "OFFERED", "IN-DEADLINE", "GOODPUT", "ROLE-CHANGES", "CUT-SHORT", "RAN-TWICE", "WRONG", "NOT-RUN", "FRAME-P99-MS")
	for _, run := range report.Runs {
		printed.Row(run.Policy, run.Offered, run.CompletedInDeadline, fmt.Sprintf("%.0f", run.Goodput), run.RoleChanges,
			run.CutShort, run.RanTwice, run.WrongAnswer, run.RefusedNotRun, fmt.Sprintf("%.1f", run.FrameP99Milliseconds))
	}
	return printed.Flush()
}

// experimentSummary is the JSON of several seeds.
type experimentSummary struct {
	Deployment string                     `json:"deployment"`
	Seeds      string                     `json:"seeds"`
	Policies   []experiment.PolicySummary `json:"policies"`
}

func printSummaries(to cli.Streams, flags *experimentFlags, summaries []experiment.PolicySummary) error {
	if flags.json {
		return cli.PrintJSON(to.Out, experimentSummary{flags.deployment, flags.seeds, summaries})
	}
	printed := cli.NewTable(to.Out, "POLICY", "GOODPUT", "ROLE-CHANGES", "OF-HINDSIGHT", "WORST", "WORST-SEED", "OF-OFFERED", "VIOLATIONS")
	for _, one := range summaries {
		printed.Row(one.Policy, fmt.Sprintf("%.0f", one.Goodput), fmt.Sprintf("%.1f", one.RoleChanges),
			fmt.Sprintf("%.3f", one.OfHindsight), fmt.Sprintf("%.3f", one.Worst), one.WorstSeed, fmt.Sprintf("%.3f", one.OfOffered), one.Violations)
	}
	return printed.Flush()
}

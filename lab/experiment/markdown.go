package experiment

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// WriteMarkdown writes the runs of each report and, for several seeds, the
// means and worst seeds before them.
func WriteMarkdown(to io.Writer, reports []*Report) error {
	var page strings.Builder
	if len(reports) > 1 {
		writeSummaries(&page, reports)
	}
	for _, report := range reports {
		writeRuns(&page, report)
	}
	_, err := io.WriteString(to, page.String())
	return errors.Wrap(err, "write report")
}

func writeSummaries(page *strings.Builder, reports []*Report) {
	fmt.Fprintf(page, "## %s, seeds %d to %d\n\n", reports[0].Deployment, reports[0].Seed, reports[len(reports)-1].Seed)
	page.WriteString("| policy | goodput, tokens/s | of hindsight: mean | worst | on seed | of offered | role changes | set the bound on | violations |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, one := range Summarize(reports) {
		fmt.Fprintf(page, "| %s | %.0f | %.4f | %.4f | %d | %.4f | %.1f | %d | %d |\n", one.Policy, one.Goodput,
			one.OfHindsight, one.Worst, one.WorstSeed, one.OfOffered, one.RoleChanges, one.SetBound, one.Violations)
	}
	page.WriteString("\n")
}

func writeRuns(page *strings.Builder, report *Report) {
	fmt.Fprintf(page, "### %s, seed %d\n\nOffered: %.0f tokens/s.\n\n", report.Deployment, report.Seed, report.OfferedTokens)
	page.WriteString("| policy | goodput, tokens/s | in deadline | offered | refused, not run | role changes | cut short | ran twice | wrong | plan |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range report.Runs {
		fmt.Fprintf(page, "| %s | %.0f | %d | %d | %d | %d | %d | %d | %d | %s |\n", run.Policy, run.Goodput, run.CompletedInDeadline,
			run.Offered, run.RefusedNotRun, run.RoleChanges, run.CutShort, run.RanTwice, run.WrongAnswer, run.Plan)
	}
	page.WriteString("\n")
}

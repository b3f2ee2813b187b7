package experiment

// PolicySummary is a policy's figures over several seeds.
type PolicySummary struct {
	Policy      string  `json:"policy"`
	Goodput     float64 `json:"goodput"`      // mean
	RoleChanges float64 `json:"role_changes"` // mean
	// OfHindsight is the mean over seeds of goodput over hindsight's, and Worst
	// the least, on WorstSeed; 0 when hindsight was not run.
	OfHindsight float64 `json:"of_hindsight"`
	Worst       float64 `json:"worst_of_hindsight"`
	WorstSeed   uint64  `json:"worst_seed"`
	// OfOffered is the mean over seeds of goodput over all that was offered.
	OfOffered float64 `json:"of_offered"`
	// SetBound counts the seeds on which the bound by hindsight is what this
	// policy did, since no plan that was searched did better.
	SetBound int `json:"set_bound"`
	// Violations is the sum of answers cut short, run twice or wrong.
	Violations int `json:"violations"`
}

// Summarize returns the figures of each policy, in the order of the first report.
func Summarize(reports []*Report) []PolicySummary {
	if len(reports) == 0 {
		return nil
	}
	var summaries []PolicySummary
	for _, first := range reports[0].Runs {
		summaries = append(summaries, summarize(first.Policy, reports))
	}
	return summaries
}

func summarize(policy string, reports []*Report) PolicySummary {
	summary := PolicySummary{Policy: policy}
	count := float64(len(reports))
	for i, report := range reports {
		run, found := report.run(policy)
		if !found {
			continue
		}
		summary.Goodput += run.Goodput / count
		summary.RoleChanges += float64(run.RoleChanges) / count
		summary.Violations += run.CutShort + run.RanTwice + run.WrongAnswer
		if report.OfferedTokens > 0 {
			summary.OfOffered += run.Goodput / report.OfferedTokens / count
		}
		bound, bounded := report.run(PolicyHindsight)
		if !bounded || bound.Goodput == 0 {
			continue
		}
		if bound.Plan == planAs+policy {
			summary.SetBound++
		}
		share := run.Goodput / bound.Goodput
		summary.OfHindsight += share / count
		if i == 0 || share < summary.Worst {
			summary.Worst, summary.WorstSeed = share, report.Seed
		}
	}
	return summary
}

// run returns the run of a policy.
func (r *Report) run(policy string) (PolicyRun, bool) {
	for _, run := range r.Runs {
		if run.Policy == policy {
			return run, true
		}
	}
	return PolicyRun{}, false
}

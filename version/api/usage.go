package api

// UsageWindow counts, per tenant, the requests that replicas started in one time window.
type UsageWindow struct {
	// Window is the number of the window: window k starts k window lengths after the Unix
	// epoch.
	Window int64 `json:"window"`
	// Counts are the final counts, or the counts known so far while Decided is false.
	Counts map[string]uint64 `json:"counts"`
	// Decided marks the counts as final, so that every report repeats the same counts.
	Decided bool `json:"decided"`
	// Reported is set once the platform has accepted the report.
	Reported bool `json:"reported"`
	// Partial is set if some processes did not report, so that their counts may be missing.
	Partial bool `json:"partial,omitempty"`
}

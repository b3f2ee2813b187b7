package api

// UsageWindow is what was counted of one window of time, by tenant: the requests that
// replicas began in it.
type UsageWindow struct {
	// Window is the window's number: window k starts k times the window's length after the
	// start of 1970.
	Window int64 `json:"window"`
	// Counts are those that were decided, or are known so far while Decided is false.
	Counts map[string]uint64 `json:"counts"`
	// Decided counts are final: they are what is reported, however often.
	Decided bool `json:"decided"`
	// Reported is true once the platform has taken the report.
	Reported bool `json:"reported"`
	// Partial is true where processes were silent whose counts may lack.
	Partial bool `json:"partial,omitempty"`
}

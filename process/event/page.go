package event

import (
	"fmt"
	"strings"
)

// severityNames are the levels as log lines have them.
var severityNames = map[Severity]string{Debug: "debug", Info: "info", Warn: "warn", Error: "error"}

const pageHead = `# Events

Every line that a daemon logs is a numbered event in logfmt, on standard output:

    level=info time=… member=control-1 event=1000 name=control_started …

Numbers are never used again. 1000 to 1999 are the control daemon's, 2000 to
2999 the proxy's, 3000 to 3999 those of commands and of the lab, 4000 to 4999
the relay's. This page is made from the code (` + "`landingtrail-lab page events`" + `),
and a test keeps the two equal.

| number | name | level | what happened | what to do |
|---|---|---|---|---|
`

// Page returns docs/EVENTS.md.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, defined := range Catalogue() {
		action := defined.Action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", defined.Number, defined.Name, severityNames[defined.Severity], defined.Meaning, action)
	}
	return page.String()
}

package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// exemptFiles lists the files that may read the system clocks any number of times, with the
// reason. Code that checks a lease, a deadline or an expiry must use this package to account for
// suspend.
var exemptFiles = map[string]string{
	"process/clock/clock.go":               "implements the clock",
	"request/limit/queue.go":               "queue timers; a request that leaves the queue checks its deadline by its own clock",
	"process/control/clock.go":             "the group's clock measures the retention of claims by wall clock; a suspended member is no longer leader",
	"process/control/group.go":             "the group's clock, see clock.go, and the age of demand reports",
	"process/control/planning.go":          "the age of demand reports",
	"process/control/run.go":               "the age of demand reports",
	"process/control/quarantine_review.go": "quarantines of minutes to a day, by wall clock",
	"process/ingress/ended.go":             "the remaining quarantine time, by wall clock",
	"process/ingress/presence.go":          "the machine's wall clock, reported to the control group, which uses the median",
	"process/ingress/run.go":               "the elapsed time of a graceful shutdown, from which its timers are set",
	"process/proxy/admin.go":               "times shown to operators only",
	"process/proxy/admit.go":               "token buckets refill only while the machine runs",
	"process/proxy/body.go":                "a connection's own timeout",
	"process/proxy/demand.go":              "the windows of demand reports",
	"process/proxy/handle_model.go":        "metric values, and queue timers, which are recomputed",
	"process/proxy/handle_service.go":      "same as handle_model.go",
	"process/proxy/pollbudget.go":          "the poll budget refills only while the machine runs",
	"process/proxy/poller.go":              "intervals between polls",
	"process/proxy/quarantine.go":          "the remaining quarantine time, by wall clock",
	"process/proxy/sink.go":                "a connection's own timeout",
	"connection/frame/reader.go":           "a connection's own timeout",
	"connection/frame/writer.go":           "a connection's own timeout",
	"connection/peer/link.go":              "the duration of a connection, which sets the delay before reconnecting",
	"connection/feed/handover.go":          "how long callers wait for the leader that a handover announced",
}

// allowedCounts lists the files that read the system clocks exactly this many times, with the
// reason beside, so that each additional reading fails the test.
var allowedCounts = map[string]int{
	"process/ingress/ingress.go":       1, // replica creation times, until the group's time is known
	"platform/replica.go":              1, // replica creation times
	"connection/exchange/companion.go": 1, // a connection's own timeout
	"connection/exchange/foreign.go":   3, // a connection's own timeout
	"process/control/evidence.go":      1, // the age of stored evidence after a restart
	"process/control/open.go":          1, // the age of stored evidence and versions when they are loaded
	"process/control/versionrecord.go": 1, // the age of stored versions after a restart
	"process/ingress/slowcaller.go":    1, // the deadline of a connection's write
}

func TestSystemClockIsReadOnlyWhereAllowed(t *testing.T) {
	const top = "../.."
	for _, folder := range []string{"process", "connection", "request", "version", "platform"} {
		err := filepath.WalkDir(filepath.Join(top, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			relative, err := filepath.Rel(top, path)
			if err == nil && exemptFiles[relative] == "" {
				must.SliceLen(t, allowedCounts[filepath.ToSlash(relative)], readings(t, path), must.Sprint(relative, " must read the system clocks exactly as often as listed; use process/clock elsewhere"))
			}
			return err
		})
		must.NoError(t, err)
	}
}

// readings returns the positions at which a file reads the time from the time package.
func readings(t *testing.T, path string) []string {
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, nil, 0)
	must.NoError(t, err)
	var found []string
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if from, ok := selector.X.(*ast.Ident); ok && from.Name == "time" {
			switch selector.Sel.Name {
			case "Now", "Since", "Until":
				found = append(found, files.Position(selector.Pos()).String()+" "+selector.Sel.Name)
			}
		}
		return true
	})
	return found
}

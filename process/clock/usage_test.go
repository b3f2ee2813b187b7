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

// exemptFiles lists the files that may read the system clocks directly, with the reason. Code
// that checks a lease, a deadline or an expiry must use this package to account for suspend.
var exemptFiles = map[string]string{
	"process/clock/clock.go":               "implements the clock",
	"request/limit/queue.go":               "queue timers; a request that leaves the queue checks its own clock",
	"process/control/clock.go":             "group time measures retention by wall clock; a suspended member is no longer leader",
	"process/control/group.go":             "group time, see clock.go, and the age of demand data",
	"process/control/planning.go":          "the age of demand data",
	"process/control/run.go":               "the age of demand data",
	"process/control/quarantine_review.go": "holds last minutes to a day, by wall clock",
	"process/ingress/ended.go":             "the remaining hold time, by wall clock",
	"process/ingress/presence.go":          "the machine's wall clock, of which the group takes the median",
	"process/ingress/run.go":               "the elapsed time of a planned stop, which sets its timers",
	"process/proxy/admin.go":               "display only",
	"process/proxy/admit.go":               "token buckets refill only while the machine runs",
	"process/proxy/body.go":                "a connection's own timeout",
	"process/proxy/demand.go":              "report windows",
	"process/proxy/handle_model.go":        "metric values, and queue timers that are recomputed",
	"process/proxy/handle_service.go":      "same as handle_model.go",
	"process/proxy/pollbudget.go":          "a rate that counts only while the machine runs",
	"process/proxy/poller.go":              "intervals between polls",
	"process/proxy/quarantine.go":          "the remaining hold time, by wall clock",
	"process/proxy/sink.go":                "a connection's own timeout",
	"connection/frame/reader.go":           "a connection's own timeout",
	"connection/frame/writer.go":           "a connection's own timeout",
	"connection/peer/link.go":              "the duration of a connection, which sets the delay before reconnecting",
	"connection/feed/handover.go":          "how long callers wait for an announced leader",
}

// allowedReadings lists the files that read the system clocks exactly this many times, with
// the reason, so that each additional reading fails the test.
var allowedReadings = map[string]int{
	"process/ingress/ingress.go":     1, // replica creation times, until the group time is known
	"platform/replica.go":            1, // replica creation times
	"connection/exchange/foreign.go": 3, // a connection's own timeout
	"process/control/evidence.go":    1, // the age of stored data after a restart
	"process/control/open.go":        1, // the same, when it is loaded
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
				must.SliceLen(t, allowedReadings[filepath.ToSlash(relative)], readings(t, path), must.Sprint(relative, " reads a clock that stops during suspend"))
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

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

// otherClocks are the files that read the system's clocks themselves, with the reason. Whoever
// believes in a lease, a deadline or a lapse after a suspension reads this package's clock.
var otherClocks = map[string]string{
	"process/clock/clock.go":               "it is the clock",
	"request/limit/queue.go":               "timers of the queue; who leaves it looks at its own clock",
	"process/control/clock.go":             "group time counts retention by time of day; a suspended member leads no more",
	"process/control/group.go":             "group time, see clock.go, and the age of demand",
	"process/control/planning.go":          "the age of demand",
	"process/control/run.go":               "the age of demand",
	"process/control/quarantine_review.go": "holds last minutes to a day, by the time of day",
	"process/ingress/ended.go":             "the rest of a hold, by the time of day",
	"process/ingress/presence.go":          "the machine's time of day, of which the group takes the median",
	"process/ingress/run.go":               "how long a planned stop has gone on, by which its timers run",
	"process/proxy/admin.go":               "shown to people",
	"process/proxy/admit.go":               "buckets of tokens fill while the machine runs",
	"process/proxy/body.go":                "a connection's own time-out",
	"process/proxy/demand.go":              "windows of a report",
	"process/proxy/handle_model.go":        "figures of metrics, and timers of the queue that are worked out anew",
	"process/proxy/handle_service.go":      "as handle_model.go",
	"process/proxy/pollbudget.go":          "a rate while the machine runs",
	"process/proxy/poller.go":              "pauses between polls",
	"process/proxy/quarantine.go":          "the rest of a hold, by the time of day",
	"process/proxy/sink.go":                "a connection's own time-out",
	"connection/frame/reader.go":           "a connection's own time-out",
	"connection/frame/writer.go":           "a connection's own time-out",
	"connection/peer/link.go":              "how long a connection lasted, for the pause before the next",
	"connection/feed/handover.go":          "how long callers wait for an announced leader",
}

// readingsAllowed are files that read the system's clocks so often, with the reason: each
// further reading there is noticed.
var readingsAllowed = map[string]int{
	"process/ingress/ingress.go":     1, // births of replicas, until the group's time of day is known
	"platform/replica.go":            1, // births of replicas
	"connection/exchange/foreign.go": 3, // a connection's own time-out
	"process/control/evidence.go":    1, // the age of what was written, in the process's next life
	"process/control/open.go":        1, // the same, as it is read
}

func TestBeliefsRestOnThisClock(t *testing.T) {
	const top = "../.."
	for _, folder := range []string{"process", "connection", "request", "version", "platform"} {
		err := filepath.WalkDir(filepath.Join(top, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			relative, err := filepath.Rel(top, path)
			if err == nil && otherClocks[relative] == "" {
				must.SliceLen(t, readingsAllowed[filepath.ToSlash(relative)], readings(t, path), must.Sprint(relative, " reads a clock that stands still in a suspension"))
			}
			return err
		})
		must.NoError(t, err)
	}
}

// readings returns where a file asks the time package for the time.
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

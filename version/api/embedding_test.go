package api_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "github.com/landingtrail/landingtrail/"
	root   = "../../"
)

// embeddable lists the packages that other programs can import as a library.
var embeddable = []string{
	"process/controller", "process/raft", "process/replica", "process/snap", "process/wal",
	"request/attempt", "request/limit", "request/prefix", "request/retry", "request/router",
	"version/api", "version/binenc", "version/planner", "version/selector", "version/state",
	"version/subset", "version/view",
}

// forbidden lists the import path prefixes that embeddable packages must not import,
// directly or transitively: the service framework, settings, the command line, the
// event log and the test lab (lab/).
var forbidden = []string{
	"github.com/zeromicro/go-zero",
	"github.com/peterbourgon/ff",
	"github.com/go-kit/log",
	module + "process/settings",
	module + "process/event",
	module + "process/control/",
	module + "process/proxy/",
	module + "cmd/",
	module + "lab/",
}

func TestEmbeddablePackagesDoNotImportFrameworks(t *testing.T) {
	for _, folder := range embeddable {
		t.Run(folder, func(t *testing.T) {
			importedBy := make(map[string]string)
			collectImports(t, folder, importedBy)
			must.MapNotEmpty(t, importedBy)
			for imported, importer := range importedBy {
				for _, prefix := range forbidden {
					must.False(t, strings.HasPrefix(imported+"/", strings.TrimSuffix(prefix, "/")+"/"),
						must.Sprintf("%s imports %s through %s", folder, imported, importer))
				}
			}
		})
	}
}

// collectImports maps the direct and transitive imports of the package in folder to a
// package that imports them. It follows only imports within the project.
func collectImports(t *testing.T, folder string, importedBy map[string]string) {
	t.Helper()
	for _, name := range goFiles(t, folder) {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			if _, visited := importedBy[imported]; visited {
				continue
			}
			importedBy[imported] = folder
			if dir, inProject := strings.CutPrefix(imported, module); inProject {
				collectImports(t, dir, importedBy)
			}
		}
	}
}

// goFiles returns the paths of the package's Go files, excluding tests.
func goFiles(t *testing.T, folder string) []string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(root, folder))
	must.NoError(t, err)
	var names []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".go") && !strings.HasSuffix(entry.Name(), "_test.go") {
			names = append(names, filepath.Join(root, folder, entry.Name()))
		}
	}
	must.SliceNotEmpty(t, names)
	return names
}

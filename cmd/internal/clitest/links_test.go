package clitest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// pageLink is a link to another file, without its part.
var pageLink = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// TestLinksOfPagesLeadToFiles follows the links between README.md and docs.
func TestLinksOfPagesLeadToFiles(t *testing.T) {
	for _, pattern := range []string{"../../../README.md", "../../../docs/*.md"} {
		paths, err := filepath.Glob(pattern)
		must.NoError(t, err)
		must.SliceNotEmpty(t, paths)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			must.NoError(t, err)
			for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
				if strings.Contains(link[1], "://") {
					continue
				}
				must.FileExists(t, filepath.Join(filepath.Dir(path), link[1]), must.Sprint(path))
			}
		}
	}
}

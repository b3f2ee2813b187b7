package fleet

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// environmentFile in the data folder holds the fleet's addresses as variables,
// so that another shell can take them over.
const environmentFile = "environment"

// announce prints the fleet's addresses and writes the environment file.
func (f *Fleet) announce() error {
	lines := f.layout.environment()
	path := filepath.Join(f.layout.folder, environmentFile)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return errors.Wrap(err, "fleet: write environment")
	}
	f.progress("addresses, also in %s:", path)
	for _, line := range lines {
		f.progress("  %s", line)
	}
	return nil
}

// environment is the addresses that operators and callers need, as lines of a
// shell script. The proxy is that of the first zone.
func (l *layout) environment() []string {
	lines := []string{
		"export LANDINGTRAIL_ENDPOINTS=" + strings.Join(l.operators(), ","),
		"export FLEET_PLATFORM=http://" + l.platform,
	}
	if len(l.proxies) > 0 {
		first := l.proxies[0]
		lines = append(lines, "export FLEET_PROXY=http://"+first.address, "export FLEET_PROXY_ADMIN=http://"+first.admin)
	}
	return lines
}

package settings_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/settings"
)

// TestPageEqualsFields keeps docs/SETTINGS.md equal to the code; make it anew
// with "landingtrail-lab page settings >docs/SETTINGS.md".
func TestPageEqualsFields(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	must.NoError(t, err)
	must.Eq(t, settings.Page(), string(page))
}

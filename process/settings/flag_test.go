package settings

import (
	"flag"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPageNamesEveryFlag keeps the page's flags equal to those that the daemons take.
func TestPageNamesEveryFlag(t *testing.T) {
	page := Page()
	for _, section := range []Section{SectionControl, SectionProxy, SectionRelay} {
		flagSet := flag.NewFlagSet("", flag.ContinueOnError)
		RegisterFlags(flagSet, section)
		flagSet.VisitAll(func(known *flag.Flag) {
			variable := variablePrefix + strings.ToUpper(strings.ReplaceAll(known.Name, "-", "_"))
			must.StrContains(t, page, "`--"+known.Name+"` | `"+variable+"`")
		})
	}
}

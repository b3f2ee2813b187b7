package event_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/event"
)

// TestPageEqualsCatalogue keeps docs/EVENTS.md equal to the code; make it anew
// with "landingtrail-lab page events >docs/EVENTS.md".
func TestPageEqualsCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	must.NoError(t, err)
	must.Eq(t, event.Page(), string(page))
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	names := map[string]event.Number{}
	for _, defined := range event.Catalogue() {
		must.MapNotContainsKey(t, names, defined.Name)
		must.Between(t, 1000, defined.Number, 4999)
		must.NotEq(t, "", defined.Meaning, must.Sprint(defined.Name))
		names[defined.Name] = defined.Number
	}
}

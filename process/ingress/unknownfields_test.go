package ingress

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against answer fields that go unread without a trace, and against unbounded labels.
func TestUnknownFieldsAreLoggedOnceAndBounded(t *testing.T) {
	var fields unknownFields
	for i := range maxUnknownFields {
		name := fmt.Sprint("X-", i)
		label, isNew := fields.label(name)
		must.Eq(t, name, label)
		must.True(t, isNew)
		_, isNew = fields.label(name)
		must.False(t, isNew)
	}
	label, isNew := fields.label("X-More")
	must.Eq(t, otherField, label)
	must.False(t, isNew)
}

package ingress

import (
	"sync"

	"github.com/landingtrail/landingtrail/process/event"
)

// maxUnknownFields limits the names that are logged and counted one by one; others are counted
// together as otherField.
const maxUnknownFields = 32

// otherField is the metric label of unknown fields beyond maxUnknownFields.
const otherField = "other"

// unknownFields holds the names of the answer fields that the dialect does not know. A field that
// nothing reads may be a request to this process, so each name is logged once.
type unknownFields struct {
	lock  sync.Mutex
	names map[string]bool
}

// note counts the fields of one answer, and logs those seen for the first time.
func (u *unknownFields) note(i *Ingress, replica, request string, names []string) {
	for _, name := range names {
		label, isNew := u.label(name)
		i.metrics.unknownFields.WithLabelValues(label).Inc()
		if isNew {
			event.FieldUnknown.Log(i.logger, "field", name, "replica", replica, "request", request)
		}
	}
}

// label returns the metric label of a field, and whether the field is to be logged.
func (u *unknownFields) label(name string) (label string, isNew bool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.names[name] {
		return name, false
	}
	if len(u.names) == maxUnknownFields {
		return otherField, false
	}
	if u.names == nil {
		u.names = map[string]bool{}
	}
	u.names[name] = true
	return name, true
}

package feed

import (
	"encoding/binary"
	"math"
	"strings"

	"github.com/landingtrail/landingtrail/request/placement"
)

// The slowness in a progress report travels in fields that members of the last release decode and do not use, so that
// the protocol version stays the same:
//
//   - Reports of the steps StepRead and StepStarted name no replica. There the slowness is encoded as the name of a
//     replica (slownessName). Other members act on a name in these reports only if it is that of the request's reader.
//   - Reports of other steps may name the replica concerned, but their number of requests is not used. There
//     the slowness takes the place of that number, marked by slownessFlag.
const slownessName = "\x00slowness\x00"

const (
	// A slowness is encoded as an unsigned integer of slownessSize bytes, in units of 1/slownessScale.
	slownessSize  = 2
	slownessScale = 100
	// slownessFlag marks a slowness in place of a number of requests.
	slownessFlag = 1 << 31
)

// noteFields returns the replica name and the number of requests by which a report is encoded.
func noteFields(note *placement.ProgressReport) (replica string, requests uint32) {
	replica, requests = note.Replica, uint32(max(note.ReportedRequests, 0))
	if !(note.ReportedSlowness > 0) {
		return replica, requests
	}
	slowness := uint16(min(max(math.Round(note.ReportedSlowness*slownessScale), 1), math.MaxUint16))
	switch {
	case hasUnusedName(note):
		replica = slownessName + string(binary.BigEndian.AppendUint16(nil, slowness))
	case !usesRequests(note):
		requests = slownessFlag | uint32(slowness)
	}
	return replica, requests
}

// setNoteFields is the reverse of noteFields for a report with its step set.
func setNoteFields(note *placement.ProgressReport, replica string, requests uint32) {
	note.Replica, note.ReportedRequests = replica, int(requests)
	encoded, found := strings.CutPrefix(replica, slownessName)
	switch {
	case found:
		note.Replica = ""
		if len(encoded) == slownessSize {
			note.ReportedSlowness = float64(binary.BigEndian.Uint16([]byte(encoded))) / slownessScale
		}
	case !usesRequests(note) && requests&slownessFlag != 0:
		note.ReportedRequests = 0
		note.ReportedSlowness = float64(uint16(requests)) / slownessScale
	}
}

// usesRequests reports whether the number of requests in the report is used.
func usesRequests(note *placement.ProgressReport) bool {
	return note.Step == placement.StepRead || note.Step == placement.StepStarted
}

// hasUnusedName reports whether the report names no replica because of its step.
func hasUnusedName(note *placement.ProgressReport) bool {
	return usesRequests(note) && note.Replica == ""
}

package feed

import (
	"math"
	"testing"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// decodeByLastRelease decodes a progress report as the last release does.
func decodeByLastRelease(t *testing.T, data []byte) PlacementProgress {
	decoder := frame.NewDecoder(data)
	progress := PlacementProgress{Service: decoder.String(), Number: decoder.Uint64()}
	progress.Note = placement.ProgressReport{Step: placement.Step(decoder.Uint8()), Replica: decoder.String(), ReportedRequests: int(decoder.Uint32())}
	progress.Origin = decoder.String()
	must.NoError(t, decoder.Finish())
	return progress
}

// encodeByLastRelease encodes a progress report as the last release does.
func encodeByLastRelease(progress PlacementProgress) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(progress.Service)
	encoder.Uint64(progress.Number)
	encoder.Uint8(uint8(progress.Note.Step))
	encoder.String(progress.Note.Replica)
	encoder.Uint32(uint32(max(progress.Note.ReportedRequests, 0)))
	encoder.String(progress.Origin)
	return encoder.Data()
}

// Guards against a slowness that is lost on its way, also through a relaying daemon of the last release, which decodes
// and encodes each report.
func TestSlownessTravelsWithProgress(t *testing.T) {
	for _, note := range []placement.ProgressReport{
		{Step: placement.StepRead, ReportedRequests: 3, ReportedSlowness: 2.5},
		{Step: placement.StepStarted, ReportedRequests: 41, ReportedSlowness: 1},
		{Step: placement.StepRefused, Replica: "r-1", ReportedSlowness: 0.01},
		{Step: placement.StepEnded, Replica: "r-1", ReportedSlowness: 655.35},
		{Step: placement.StepReadSkipped, Replica: "r-1", ReportedSlowness: 1.13},
		{Step: placement.StepRefused, Replica: "r-1", ReportedRequests: 7},
		{Step: placement.StepStarted, ReportedRequests: 41},
	} {
		progress := PlacementProgress{Service: "chat", Number: 7, Note: note, Origin: "proxy-a#1"}
		data := encodePlacementProgress(progress)
		decoded, err := decodePlacementProgress(data)
		must.NoError(t, err)
		must.Eq(t, progress, decoded)
		relayed, err := decodePlacementProgress(encodeByLastRelease(decodeByLastRelease(t, data)))
		must.NoError(t, err)
		must.Eq(t, progress, relayed)
	}
}

// Guards against values that a report cannot hold: they are limited, and what is no slowness is left out.
func TestImpossibleSlownessIsLimited(t *testing.T) {
	for sent, received := range map[float64]float64{1e9: 655.35, 1e-9: 0.01, math.Inf(1): 655.35, -1: 0, 0: 0} {
		for _, step := range []placement.Step{placement.StepRead, placement.StepRefused} {
			decoded, err := decodePlacementProgress(encodePlacementProgress(PlacementProgress{Note: placement.ProgressReport{Step: step, ReportedSlowness: sent}}))
			must.NoError(t, err)
			must.Eq(t, received, decoded.Note.ReportedSlowness)
		}
	}
}

// Guards against a member of the last release that acts on the encoded slowness: its board must take a read and a start
// for such, count the same requests, and treat a failure as that of the same replica.
func TestSlownessIsIgnoredByTheLastRelease(t *testing.T) {
	for _, step := range []placement.Step{placement.StepRead, placement.StepStarted, placement.StepEnded, placement.StepFailed,
		placement.StepAnsweredError, placement.StepRefused, placement.StepMisdirected, placement.StepReadSkipped, placement.StepUnreachable} {
		note := placement.ProgressReport{Step: step, ReportedSlowness: 2.5}
		if step == placement.StepRead || step == placement.StepStarted {
			note.ReportedRequests = 9
		} else {
			note.Replica = "r-1"
		}
		decoded := decodeByLastRelease(t, encodePlacementProgress(PlacementProgress{Service: "chat", Number: 7, Note: note})).Note
		must.Eq(t, step, decoded.Step)
		if step == placement.StepRead || step == placement.StepStarted {
			must.Eq(t, 9, decoded.ReportedRequests)
			must.StrHasPrefix(t, "\x00", decoded.Replica, must.Sprint("no replica has such a name"))
		} else {
			must.Eq(t, "r-1", decoded.Replica)
			must.Positive(t, decoded.ReportedRequests, must.Sprint("a board adds it to nothing unless a step has been completed"))
		}
	}
}

// Guards against malformed slowness that is taken for the name of a replica.
func TestMalformedSlownessIsDropped(t *testing.T) {
	for _, name := range []string{slownessName, slownessName + "x", slownessName + "xyz"} {
		data := encodeByLastRelease(PlacementProgress{Service: "chat", Note: placement.ProgressReport{Step: placement.StepRead, Replica: name}})
		decoded, err := decodePlacementProgress(data)
		must.NoError(t, err)
		must.Eq(t, placement.ProgressReport{Step: placement.StepRead}, decoded.Note)
	}
}

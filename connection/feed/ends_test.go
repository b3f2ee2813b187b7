package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/shoenig/test/must"
)

func crashReport(crashes int) CrashReport {
	report := CrashReport{Alive: []quarantine.LiveReplica{{Replica: "r-9", RunningFor: time.Minute}}, Served: []quarantine.Fingerprint{quarantine.FingerprintOf(quarantine.RequestIdentity{Path: "/served"})}}
	for i := range crashes {
		report.Crashes = append(report.Crashes, quarantine.AgedEvidence{Age: time.Duration(i) * time.Second, Evidence: quarantine.Evidence{
			Fingerprint: quarantine.FingerprintOf(quarantine.RequestIdentity{Path: fmt.Sprint(i)}), Replica: fmt.Sprint("r-", i), HadOutput: i%2 == 0, Read: i%3 == 0, StillListening: i%4 == 0, RunTime: time.Duration(i),
			OnlyInFlight: i%2 == 1, UniqueName: i%3 == 1, ObservationID: uint64(i) << 40,
			RequestInfo: quarantine.RequestInfo{Service: "s", Route: "r", Request: "q"},
		}})
	}
	return report
}

func TestCrashReportRoundTrip(t *testing.T) {
	report := crashReport(3)
	data := EncodeCrashReport(report)
	decoded, err := DecodeCrashReport(data)
	must.NoError(t, err)
	must.Eq(t, report, decoded)
	for i := range data {
		_, err := DecodeCrashReport(data[:i])
		must.Error(t, err, must.Sprint(i))
	}
}

func TestCrashReportsAreSplitIntoMessages(t *testing.T) {
	var together CrashReport
	for _, part := range crashReport(2*maxReportEntries + 1).Split() {
		decoded, err := DecodeCrashReport(EncodeCrashReport(part))
		must.NoError(t, err)
		must.LessEq(t, maxSubscriberPayload, len(EncodeCrashReport(part)))
		together.Crashes = append(together.Crashes, decoded.Crashes...)
		together.Alive = append(together.Alive, decoded.Alive...)
		together.Served = append(together.Served, decoded.Served...)
	}
	must.Eq(t, crashReport(2*maxReportEntries+1), together)
	must.SliceEmpty(t, CrashReport{}.Split())
}

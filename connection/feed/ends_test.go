package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/shoenig/test/must"
)

func crashReport(crashes int) EndReport {
	report := EndReport{Alive: []quarantine.Alive{{Replica: "r-9", For: time.Minute}}, Served: []quarantine.Fingerprint{quarantine.Of(quarantine.Identity{Path: "/served"})}}
	for i := range crashes {
		report.Ended = append(report.Ended, quarantine.Aged{Age: time.Duration(i) * time.Second, Evidence: quarantine.Evidence{
			Fingerprint: quarantine.Of(quarantine.Identity{Path: fmt.Sprint(i)}), Replica: fmt.Sprint("r-", i), Began: i%2 == 0, Read: i%3 == 0, Listens: i%4 == 0, Ran: time.Duration(i),
			Alone: i%2 == 1, Once: i%3 == 1, Sight: uint64(i) << 40,
			About: quarantine.About{Service: "s", Route: "r", Request: "q"},
		}})
	}
	return report
}

func TestCrashReportRoundTrip(t *testing.T) {
	report := crashReport(3)
	data := EncodeEnds(report)
	decoded, err := DecodeEnds(data)
	must.NoError(t, err)
	must.Eq(t, report, decoded)
	for i := range data {
		_, err := DecodeEnds(data[:i])
		must.Error(t, err, must.Sprint(i))
	}
}

func TestCrashReportsAreSplitIntoMessages(t *testing.T) {
	var together EndReport
	for _, part := range crashReport(2*maxReportEntries + 1).Split() {
		decoded, err := DecodeEnds(EncodeEnds(part))
		must.NoError(t, err)
		must.LessEq(t, maxSubscriberPayload, len(EncodeEnds(part)))
		together.Ended = append(together.Ended, decoded.Ended...)
		together.Alive = append(together.Alive, decoded.Alive...)
		together.Served = append(together.Served, decoded.Served...)
	}
	must.Eq(t, crashReport(2*maxReportEntries+1), together)
	must.SliceEmpty(t, EndReport{}.Split())
}

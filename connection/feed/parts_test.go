package feed

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/shoenig/test/must"
)

func partReport(crashes, starts int) parts.Report {
	run := parts.Run{Service: "s", Caller: parts.CallerKey("c"), Parts: []parts.Key{parts.KeyOf("s", "m", "a"), parts.KeyOf("s", "m", "b")}}
	var report parts.Report
	for range crashes {
		report.Crashes = append(report.Crashes, parts.Crash{
			Run: run, Request: quarantine.Fingerprint{7}, Replica: "r", UniqueName: true, Begun: true, MayBeAlive: true, RunTime: time.Second, Age: time.Millisecond,
		})
	}
	for range starts {
		report.Starts = append(report.Starts, parts.Start{Run: run, Age: time.Minute})
	}
	return report
}

// Guards against reports of parts that change on the way, or that are cut.
func TestPartReportsArriveUnchanged(t *testing.T) {
	report := partReport(3, 2)
	decoded, err := decodeChargeRequest(frame.NewDecoder(encodeChargeRequest(frame.NewEncoder(nil), ChargeRequest{Parts: &report})))
	must.NoError(t, err)
	must.Eq(t, ChargeRequest{Parts: &report}, decoded)

	crashes, starts := 0, 0
	for _, message := range splitPartReport(partReport(maxPartObservations+1, 2*maxPartObservations+1)) {
		decoded, err := decodePartsTenant(encodePartsTenant(&message))
		must.NoError(t, err)
		crashes += len(decoded.Crashes)
		starts += len(decoded.Starts)
	}
	must.Eq(t, maxPartObservations+1, crashes)
	must.Eq(t, 2*maxPartObservations+1, starts)
}

// Guards against messages that exhaust a member: too long lists and damaged ones are refused.
func TestOversizedPartReportsAreRefused(t *testing.T) {
	report := partReport(maxPartObservations+1, 0)
	_, err := decodePartsTenant(encodePartsTenant(&report))
	must.Error(t, err)
	small := partReport(1, 1)
	encoded := encodePartsTenant(&small)
	for length := len(partsPrefix); length < len(encoded); length++ {
		_, err := decodePartsTenant(encoded[:length])
		must.Error(t, err)
	}
	none, err := decodePartsTenant("an ordinary tenant")
	must.NoError(t, err)
	must.Nil(t, none)
}

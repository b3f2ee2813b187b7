package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
)

// Observations of prompt parts under which replicas crash travel as charges of a tenant of no possible
// name (partsPrefix), so that daemons and members that do not know them can run together with others:
// those know no such tenant and ignore the message.
const partsPrefix = "\x00parts\x00"

// Limits of one report of parts, and the minimum encoded size of its elements.
const (
	maxPartObservations = 64
	partObservationSize = 4 + 4 + 4 + 8
)

// ReportParts sends a report to the leader, or to a standby member if no leader is available. It
// returns false if there is no session or any part of the report was dropped.
func (c *Client) ReportParts(report parts.Report) bool {
	queued := true
	for _, message := range splitPartReport(report) {
		queued = c.RefundCharge(ChargeRequest{Parts: &message}) && queued
	}
	return queued
}

// splitPartReport divides a report into messages of at most maxPartObservations observations.
func splitPartReport(report parts.Report) []parts.Report {
	var messages []parts.Report
	for first := 0; first < len(report.Crashes); first += maxPartObservations {
		messages = append(messages, parts.Report{Crashes: report.Crashes[first:min(first+maxPartObservations, len(report.Crashes))]})
	}
	for first := 0; first < len(report.Starts); first += maxPartObservations {
		messages = append(messages, parts.Report{Starts: report.Starts[first:min(first+maxPartObservations, len(report.Starts))]})
	}
	return messages
}

// encodePartsTenant encodes a report in place of a tenant's name.
func encodePartsTenant(report *parts.Report) string {
	encoder := frame.NewEncoder(nil)
	encoder.Uint32(uint32(len(report.Crashes)))
	for _, crash := range report.Crashes {
		encodeRun(encoder, crash.Run)
		encoder.String(string(crash.Request[:]))
		encoder.String(crash.Replica)
		encoder.Bool(crash.UniqueName)
		encoder.Bool(crash.Begun)
		encoder.Bool(crash.MayBeAlive)
		encoder.Int64(int64(crash.RunTime))
		encoder.Int64(int64(crash.Age))
	}
	encoder.Uint32(uint32(len(report.Starts)))
	for _, start := range report.Starts {
		encodeRun(encoder, start.Run)
		encoder.Int64(int64(start.Age))
	}
	return partsPrefix + string(encoder.Data())
}

// decodePartsTenant is the reverse of encodePartsTenant. It returns nil for the name of a tenant.
func decodePartsTenant(tenant string) (*parts.Report, error) {
	decoder, found := messageDecoder(tenant, partsPrefix)
	if !found {
		return nil, nil
	}
	report := &parts.Report{}
	for i, count := 0, decodeObservationCount(decoder); i < count && decoder.Err() == nil; i++ {
		report.Crashes = append(report.Crashes, parts.Crash{
			Run: decodeRun(decoder), Request: decodeFingerprint(decoder), Replica: decoder.String(), UniqueName: decoder.Bool(), Begun: decoder.Bool(), MayBeAlive: decoder.Bool(),
			RunTime: time.Duration(decoder.Int64()), Age: time.Duration(decoder.Int64()),
		})
	}
	for i, count := 0, decodeObservationCount(decoder); i < count && decoder.Err() == nil; i++ {
		report.Starts = append(report.Starts, parts.Start{Run: decodeRun(decoder), Age: time.Duration(decoder.Int64())})
	}
	return report, decoder.Finish()
}

// decodeObservationCount reads the length of a list of observations and fails the decoder if it is
// too long.
func decodeObservationCount(decoder *frame.Decoder) int {
	count := decoder.Count(partObservationSize)
	if count > maxPartObservations {
		decoder.Fail(frame.ErrValue)
	}
	return count
}

func encodeRun(encoder *frame.Encoder, run parts.Run) {
	encoder.String(run.Service)
	encoder.String(string(run.Caller[:]))
	shared := run.Parts[:min(len(run.Parts), parts.MaxPartsPerRun)]
	encoder.Uint32(uint32(len(shared)))
	for _, part := range shared {
		encoder.String(string(part[:]))
	}
}

func decodeRun(decoder *frame.Decoder) parts.Run {
	run := parts.Run{Service: decoder.String(), Caller: decodeFingerprint(decoder)}
	count := decoder.Count(fingerprintSize)
	if count > parts.MaxPartsPerRun {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		run.Parts = append(run.Parts, decodeFingerprint(decoder))
	}
	return run
}

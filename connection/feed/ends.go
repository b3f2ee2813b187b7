package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine"
)

// CrashReport is what a daemon has observed of replicas that crashed while they processed requests.
// It is shared so that all daemons know during which requests replicas crashed.
type CrashReport struct {
	// Crashes lists replicas that appear to have crashed while they processed a request, with the
	// time since then.
	Crashes []quarantine.AgedEvidence
	// Alive lists replicas that were reported as crashed and have answered since.
	Alive []quarantine.LiveReplica
	// Served lists requests in the group's quarantine record that have since been served to
	// completion.
	Served []quarantine.Fingerprint
}

// IsEmpty reports whether the report has no entries.
func (r *CrashReport) IsEmpty() bool { return len(r.Crashes)+len(r.Alive)+len(r.Served) == 0 }

// Limits of one report. maxReportEntries applies to each of its lists.
const (
	maxReportEntries = 512
	// crashSize is the minimum encoded size of an entry of Crashes: fingerprint and replica, five
	// booleans, ObservationID, RunTime, the three strings of RequestInfo, and Age. aliveSize is
	// that of an entry of Alive, and fingerprintSize that of a fingerprint.
	crashSize       = 4 + 4 + 5 + 8 + 8 + 3*4 + 8
	aliveSize       = 4 + 8
	fingerprintSize = 4
)

// Split divides a report into parts that fit into one message each. Entries of Alive and Served
// beyond maxReportEntries are dropped. An empty report has no parts.
func (r CrashReport) Split() []CrashReport {
	parts := []CrashReport{{Alive: r.Alive[:min(len(r.Alive), maxReportEntries)], Served: r.Served[:min(len(r.Served), maxReportEntries)]}}
	for first := 0; first < len(r.Crashes); first += maxReportEntries {
		parts = append(parts, CrashReport{Crashes: r.Crashes[first:min(first+maxReportEntries, len(r.Crashes))]})
	}
	if parts[0].IsEmpty() {
		return parts[1:]
	}
	return parts
}

// EncodeCrashReport encodes a report for a frame. Members also use it for messages among themselves
// and for the file in which they store crashes. Each list must hold at most maxReportEntries
// entries. See quarantine.Evidence for the fields of an entry.
func EncodeCrashReport(report CrashReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint32(uint32(len(report.Crashes)))
	for _, crash := range report.Crashes {
		encoder.String(string(crash.Fingerprint[:]))
		encoder.String(crash.Replica)
		encoder.Bool(crash.HadOutput)
		encoder.Bool(crash.Read)
		encoder.Bool(crash.OnlyInFlight)
		encoder.Bool(crash.StillListening)
		encoder.Bool(crash.UniqueName)
		encoder.Uint64(crash.ObservationID)
		encoder.Int64(int64(crash.RunTime))
		encoder.String(crash.RequestInfo.Service)
		encoder.String(crash.RequestInfo.Route)
		encoder.String(crash.RequestInfo.Request)
		encoder.Int64(int64(crash.Age))
	}
	encoder.Uint32(uint32(len(report.Alive)))
	for _, alive := range report.Alive {
		encoder.String(alive.Replica)
		encoder.Int64(int64(alive.RunningFor))
	}
	encoder.Uint32(uint32(len(report.Served)))
	for _, fingerprint := range report.Served {
		encoder.String(string(fingerprint[:]))
	}
	return encoder.Data()
}

// DecodeCrashReport decodes the output of EncodeCrashReport. It returns an error of package frame
// if the data is malformed or a list exceeds maxReportEntries.
func DecodeCrashReport(data []byte) (CrashReport, error) {
	decoder := frame.NewDecoder(data)
	var report CrashReport
	for i, count := 0, decodeEntryCount(decoder, crashSize); i < count && decoder.Err() == nil; i++ {
		report.Crashes = append(report.Crashes, decodeCrash(decoder))
	}
	for i, count := 0, decodeEntryCount(decoder, aliveSize); i < count && decoder.Err() == nil; i++ {
		report.Alive = append(report.Alive, quarantine.LiveReplica{Replica: decoder.String(), RunningFor: time.Duration(decoder.Int64())})
	}
	for i, count := 0, decodeEntryCount(decoder, fingerprintSize); i < count && decoder.Err() == nil; i++ {
		report.Served = append(report.Served, decodeFingerprint(decoder))
	}
	return report, decoder.Finish()
}

// decodeEntryCount reads the length of a list in a report and fails the decoder if it exceeds
// maxReportEntries.
func decodeEntryCount(decoder *frame.Decoder, size int) int {
	count := decoder.Count(size)
	if count > maxReportEntries {
		decoder.Fail(frame.ErrValue)
	}
	return count
}

func decodeCrash(decoder *frame.Decoder) quarantine.AgedEvidence {
	crash := quarantine.AgedEvidence{Evidence: quarantine.Evidence{
		Fingerprint:    decodeFingerprint(decoder),
		Replica:        decoder.String(),
		HadOutput:      decoder.Bool(),
		Read:           decoder.Bool(),
		OnlyInFlight:   decoder.Bool(),
		StillListening: decoder.Bool(),
		UniqueName:     decoder.Bool(),
		ObservationID:  decoder.Uint64(),
		RunTime:        time.Duration(decoder.Int64()),
		RequestInfo:    quarantine.RequestInfo{Service: decoder.String(), Route: decoder.String(), Request: decoder.String()},
	}}
	crash.Age = time.Duration(decoder.Int64())
	return crash
}

func decodeFingerprint(decoder *frame.Decoder) quarantine.Fingerprint {
	var fingerprint quarantine.Fingerprint
	if copy(fingerprint[:], decoder.String()) != len(fingerprint) {
		decoder.Fail(frame.ErrValue)
	}
	return fingerprint
}

// ReportCrashes sends a report to the leader, or to a standby member if no leader is available. It
// returns false if there is no session or any part was dropped; the other parts were sent.
func (c *Client) ReportCrashes(report CrashReport) bool {
	return sendCrashReport(c.placementSession(), report)
}

func sendCrashReport(target *session, report CrashReport) bool {
	if target == nil {
		return false
	}
	queued := true
	for _, part := range report.Split() {
		queued = target.enqueue(&outgoing{kind: kindCrashes, payload: EncodeCrashReport(part)}) && queued
	}
	return queued
}

func (s *subscriber) receiveCrashReport(payload []byte) error {
	report, err := DecodeCrashReport(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.RecordCrashes(report)
	return nil
}

// UnrecordedInterval is the interval at which crashes that are not in the committed quarantine
// record are sent to a daemon again. They are sent while the group has no leader or can't commit,
// and therefore does not quarantine requests by them; a daemon decides by itself as long as it
// receives them.
const UnrecordedInterval = time.Second

// minUnrecordedInterval is the minimum time between two such reports to a daemon, so that several
// crashes in a short time are sent together.
const minUnrecordedInterval = 100 * time.Millisecond

// writeUnrecordedCrashes sends the crashes that are not in the committed record, if there are any
// that the daemon does not know or that were last sent some time ago.
func (s *subscriber) writeUnrecordedCrashes(writer *frame.Writer) error {
	report, generation := s.server.config.Group.UnrecordedCrashes()
	now := s.server.config.Clock()
	interval := minUnrecordedInterval
	if generation == s.unrecordedGeneration {
		interval = UnrecordedInterval
	}
	if report.IsEmpty() || s.unrecordedSentAt > 0 && now-s.unrecordedSentAt < interval {
		return nil
	}
	s.unrecordedGeneration, s.unrecordedSentAt = generation, now
	for _, part := range report.Split() {
		if err := writer.WriteFrame(kindCrashes, EncodeCrashReport(part)); err != nil {
			return err
		}
	}
	return nil
}

// receiveUnrecordedCrashes handles a member's report of crashes that are not in the committed
// record.
func (s *session) receiveUnrecordedCrashes(payload []byte) error {
	report, err := DecodeCrashReport(payload)
	if err != nil {
		return err
	}
	if s.client.config.OnUnrecordedCrashes != nil {
		s.client.config.OnUnrecordedCrashes(report)
	}
	return nil
}

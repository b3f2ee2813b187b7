package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine"
)

// EndReport is what a daemon has observed of replicas that crashed while they processed requests.
// It is shared so that all daemons know during which requests replicas crashed.
type EndReport struct {
	// Ended lists replicas that appear to have crashed while they processed a request, with the
	// time since then.
	Ended []quarantine.Aged
	// Alive lists replicas that were reported as crashed and have answered since.
	Alive []quarantine.Alive
	// Served lists requests in the group's quarantine record that have since been served to
	// completion.
	Served []quarantine.Fingerprint
}

// IsEmpty reports whether the report has no entries.
func (r *EndReport) IsEmpty() bool { return len(r.Ended)+len(r.Alive)+len(r.Served) == 0 }

// Limits of one report. maxReportEntries applies to each of its lists.
const (
	maxReportEntries = 512
	// crashSize is the minimum encoded size of an entry of Ended: fingerprint and replica, five
	// booleans, Sight, Ran, the three strings of About, and Age. aliveSize is that of an entry of
	// Alive, and fingerprintSize that of a fingerprint.
	crashSize       = 4 + 4 + 5 + 8 + 8 + 3*4 + 8
	aliveSize       = 4 + 8
	fingerprintSize = 4
)

// Split divides a report into parts that fit into one message each. Entries of Alive and Served
// beyond maxReportEntries are dropped. An empty report has no parts.
func (r EndReport) Split() []EndReport {
	parts := []EndReport{{Alive: r.Alive[:min(len(r.Alive), maxReportEntries)], Served: r.Served[:min(len(r.Served), maxReportEntries)]}}
	for first := 0; first < len(r.Ended); first += maxReportEntries {
		parts = append(parts, EndReport{Ended: r.Ended[first:min(first+maxReportEntries, len(r.Ended))]})
	}
	if parts[0].IsEmpty() {
		return parts[1:]
	}
	return parts
}

// EncodeEnds encodes a report for a frame. Members also use it for messages among themselves and
// for the file in which they store crashes. Each list must hold at most maxReportEntries entries.
// See quarantine.Evidence for the fields of an entry.
func EncodeEnds(report EndReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint32(uint32(len(report.Ended)))
	for _, crash := range report.Ended {
		encoder.String(string(crash.Fingerprint[:]))
		encoder.String(crash.Replica)
		encoder.Bool(crash.Began)
		encoder.Bool(crash.Read)
		encoder.Bool(crash.Alone)
		encoder.Bool(crash.Listens)
		encoder.Bool(crash.Once)
		encoder.Uint64(crash.Sight)
		encoder.Int64(int64(crash.Ran))
		encoder.String(crash.About.Service)
		encoder.String(crash.About.Route)
		encoder.String(crash.About.Request)
		encoder.Int64(int64(crash.Age))
	}
	encoder.Uint32(uint32(len(report.Alive)))
	for _, alive := range report.Alive {
		encoder.String(alive.Replica)
		encoder.Int64(int64(alive.For))
	}
	encoder.Uint32(uint32(len(report.Served)))
	for _, fingerprint := range report.Served {
		encoder.String(string(fingerprint[:]))
	}
	return encoder.Data()
}

// DecodeEnds decodes the output of EncodeEnds. It returns an error of package frame if the data is
// malformed or a list exceeds maxReportEntries.
func DecodeEnds(data []byte) (EndReport, error) {
	decoder := frame.NewDecoder(data)
	var report EndReport
	for i, count := 0, decodeEntryCount(decoder, crashSize); i < count && decoder.Err() == nil; i++ {
		report.Ended = append(report.Ended, decodeCrash(decoder))
	}
	for i, count := 0, decodeEntryCount(decoder, aliveSize); i < count && decoder.Err() == nil; i++ {
		report.Alive = append(report.Alive, quarantine.Alive{Replica: decoder.String(), For: time.Duration(decoder.Int64())})
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

func decodeCrash(decoder *frame.Decoder) quarantine.Aged {
	crash := quarantine.Aged{Evidence: quarantine.Evidence{
		Fingerprint: decodeFingerprint(decoder),
		Replica:     decoder.String(),
		Began:       decoder.Bool(),
		Read:        decoder.Bool(),
		Alone:       decoder.Bool(),
		Listens:     decoder.Bool(),
		Once:        decoder.Bool(),
		Sight:       decoder.Uint64(),
		Ran:         time.Duration(decoder.Int64()),
		About:       quarantine.About{Service: decoder.String(), Route: decoder.String(), Request: decoder.String()},
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

// ReportEnds sends a report to the leader, or to a standby member if no leader is available. It
// returns false if there is no session or any part was dropped; the other parts were sent.
func (c *Client) ReportEnds(report EndReport) bool {
	return sendCrashReport(c.placementSession(), report)
}

func sendCrashReport(target *session, report EndReport) bool {
	if target == nil {
		return false
	}
	queued := true
	for _, part := range report.Split() {
		queued = target.enqueue(&outgoing{kind: kindCrashes, payload: EncodeEnds(part)}) && queued
	}
	return queued
}

func (s *subscriber) receiveCrashReport(payload []byte) error {
	report, err := DecodeEnds(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.NoteEnds(report)
	return nil
}

// UnrecordedPause is the interval at which crashes that are not in the committed quarantine record
// are sent to a daemon again. They are sent while the group has no leader or can't commit, and
// therefore does not quarantine requests by them; a daemon decides by itself as long as it receives
// them.
const UnrecordedPause = time.Second

// minUnrecordedInterval is the minimum time between two such reports to a daemon, so that several
// crashes in a short time are sent together.
const minUnrecordedInterval = 100 * time.Millisecond

// writeUnrecordedCrashes sends the crashes that are not in the committed record, if there are any
// that the daemon does not know or that were last sent some time ago.
func (s *subscriber) writeUnrecordedCrashes(writer *frame.Writer) error {
	report, generation := s.server.config.Group.Unrecorded()
	now := s.server.config.Clock()
	interval := minUnrecordedInterval
	if generation == s.unrecordedGeneration {
		interval = UnrecordedPause
	}
	if report.IsEmpty() || s.unrecordedSentAt > 0 && now-s.unrecordedSentAt < interval {
		return nil
	}
	s.unrecordedGeneration, s.unrecordedSentAt = generation, now
	for _, part := range report.Split() {
		if err := writer.WriteFrame(kindCrashes, EncodeEnds(part)); err != nil {
			return err
		}
	}
	return nil
}

// receiveUnrecordedCrashes handles a member's report of crashes that are not in the committed
// record.
func (s *session) receiveUnrecordedCrashes(payload []byte) error {
	report, err := DecodeEnds(payload)
	if err != nil {
		return err
	}
	if s.client.config.Unrecorded != nil {
		s.client.config.Unrecorded(report)
	}
	return nil
}

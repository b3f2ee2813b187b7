package feed

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quarantine"
)

// EndReport is what a daemon has seen of replicas that ended, so that all daemons know
// under which requests they do.
type EndReport struct {
	// Ended are replicas that seem to have ended under requests, with the time since.
	Ended []quarantine.Aged
	// Alive are replicas that were reported so and have answered since.
	Alive []quarantine.Alive
	// Served are requests that the group has on record and that were served whole.
	Served []quarantine.Fingerprint
}

// IsEmpty reports whether nothing is told.
func (r *EndReport) IsEmpty() bool { return len(r.Ended)+len(r.Alive)+len(r.Served) == 0 }

// Bounds of one report: maxEnded replicas' ends, as many names and fingerprints.
const (
	maxEnded = 512
	// endedSize is the least size of one encoded end, aliveSize of one that lives,
	// fingerprintSize of a fingerprint.
	endedSize       = 4 + 4 + 5 + 8 + 8 + 3*4 + 8
	aliveSize       = 4 + 8
	fingerprintSize = 4
)

// Split divides a report into such as one message holds.
func (r EndReport) Split() []EndReport {
	parts := []EndReport{{Alive: r.Alive[:min(len(r.Alive), maxEnded)], Served: r.Served[:min(len(r.Served), maxEnded)]}}
	for first := 0; first < len(r.Ended); first += maxEnded {
		parts = append(parts, EndReport{Ended: r.Ended[first:min(first+maxEnded, len(r.Ended))]})
	}
	if parts[0].IsEmpty() {
		return parts[1:]
	}
	return parts
}

// EncodeEnds encodes a report for a file or another member; it holds no more than maxEnded of each.
func EncodeEnds(report EndReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint32(uint32(len(report.Ended)))
	for _, seen := range report.Ended {
		encoder.String(string(seen.Fingerprint[:]))
		encoder.String(seen.Replica)
		encoder.Bool(seen.Began)
		encoder.Bool(seen.Read)
		encoder.Bool(seen.Alone)
		encoder.Bool(seen.Listens)
		encoder.Bool(seen.Once)
		encoder.Uint64(seen.Sight)
		encoder.Int64(int64(seen.Ran))
		encoder.String(seen.About.Service)
		encoder.String(seen.About.Route)
		encoder.String(seen.About.Request)
		encoder.Int64(int64(seen.Age))
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

// DecodeEnds reads what EncodeEnds has written.
func DecodeEnds(data []byte) (EndReport, error) {
	decoder := frame.NewDecoder(data)
	var report EndReport
	for i, count := 0, decodeCount(decoder, endedSize); i < count && decoder.Err() == nil; i++ {
		report.Ended = append(report.Ended, decodeEnded(decoder))
	}
	for i, count := 0, decodeCount(decoder, aliveSize); i < count && decoder.Err() == nil; i++ {
		report.Alive = append(report.Alive, quarantine.Alive{Replica: decoder.String(), For: time.Duration(decoder.Int64())})
	}
	for i, count := 0, decodeCount(decoder, fingerprintSize); i < count && decoder.Err() == nil; i++ {
		report.Served = append(report.Served, decodeFingerprint(decoder))
	}
	return report, decoder.Finish()
}

// decodeCount reads the length of a list that a report bounds.
func decodeCount(decoder *frame.Decoder, size int) int {
	count := decoder.Count(size)
	if count > maxEnded {
		decoder.Fail(frame.ErrValue)
	}
	return count
}

func decodeEnded(decoder *frame.Decoder) quarantine.Aged {
	seen := quarantine.Aged{Evidence: quarantine.Evidence{
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
	seen.Age = time.Duration(decoder.Int64())
	return seen
}

func decodeFingerprint(decoder *frame.Decoder) quarantine.Fingerprint {
	var fingerprint quarantine.Fingerprint
	if copy(fingerprint[:], decoder.String()) != len(fingerprint) {
		decoder.Fail(frame.ErrValue)
	}
	return fingerprint
}

// ReportEnds tells the leader, or the member that stands by without one, of replicas that
// ended; false when a part of the word was dropped.
func (c *Client) ReportEnds(report EndReport) bool {
	return reportEnds(c.placing(), report)
}

func reportEnds(to *session, report EndReport) bool {
	if to == nil {
		return false
	}
	all := true
	for _, part := range report.Split() {
		all = to.enqueue(&outgoing{kind: kindEnds, payload: EncodeEnds(part)}) && all
	}
	return all
}

func (s *subscriber) receiveEnds(payload []byte) error {
	report, err := DecodeEnds(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.NoteEnds(report)
	return nil
}

// UnrecordedPause is after which time a daemon is told again of ends that the record can't tell: as
// long as it is told, it knows that nobody else judges by them.
const UnrecordedPause = time.Second

// unrecordedLeast is the least time between two words to a daemon: news come many at a time.
const unrecordedLeast = 100 * time.Millisecond

// writeUnrecorded tells the daemon of ends that are not on record, if there are any that it does not
// know or was told of a while ago.
func (s *subscriber) writeUnrecorded(writer *frame.Writer) error {
	report, news := s.server.config.Group.Unrecorded()
	now := s.server.config.Clock()
	least := unrecordedLeast
	if news == s.toldNews {
		least = UnrecordedPause
	}
	if report.IsEmpty() || s.toldAt > 0 && now-s.toldAt < least {
		return nil
	}
	s.toldNews, s.toldAt = news, now
	for _, part := range report.Split() {
		if err := writer.WriteFrame(kindEnds, EncodeEnds(part)); err != nil {
			return err
		}
	}
	return nil
}

// receiveEnds takes in what a member tells of ends that are not on record.
func (s *session) receiveEnds(payload []byte) error {
	report, err := DecodeEnds(payload)
	if err != nil {
		return err
	}
	if s.client.config.Unrecorded != nil {
		s.client.config.Unrecorded(report)
	}
	return nil
}

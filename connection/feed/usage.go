package feed

import (
	"github.com/landingtrail/landingtrail/connection/frame"
)

// UsageReport is what one process has counted of requests that began, by tenant and window
// of time. Counters only rise: a report that comes twice, or late, takes nothing back.
type UsageReport struct {
	// Life names the process; one that starts again has another name.
	Life string
	// Through is up to when everything is told that this process has counted, in
	// milliseconds of the group's time of day.
	Through int64
	Counts  []UsageCount
}

// UsageCount is one counter.
type UsageCount struct {
	Window int64
	Tenant string
	Count  uint64
}

// maxUsageCounts bounds the counters of one message.
const maxUsageCounts = 8192

// usageCountSize is the least size of one encoded counter.
const usageCountSize = 8 + 4 + 8

func encodeUsage(report UsageReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(report.Life)
	encoder.Int64(report.Through)
	encoder.Uint32(uint32(len(report.Counts)))
	for _, counter := range report.Counts {
		encoder.Int64(counter.Window)
		encoder.String(counter.Tenant)
		encoder.Uint64(counter.Count)
	}
	return encoder.Data()
}

func decodeUsage(data []byte) (UsageReport, error) {
	decoder := frame.NewDecoder(data)
	report := UsageReport{Life: decoder.String(), Through: decoder.Int64()}
	count := decoder.Count(usageCountSize)
	if count > maxUsageCounts {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		report.Counts = append(report.Counts, UsageCount{Window: decoder.Int64(), Tenant: decoder.String(), Count: decoder.Uint64()})
	}
	return report, decoder.Finish()
}

// split divides a report into such as one message holds. Only the last part says through
// when all is told.
func (r UsageReport) split() []UsageReport {
	var parts []UsageReport
	for len(r.Counts) > maxUsageCounts {
		parts = append(parts, UsageReport{Life: r.Life, Counts: r.Counts[:maxUsageCounts]})
		r.Counts = r.Counts[maxUsageCounts:]
	}
	return append(parts, r)
}

// ReportUsage tells the leader; false when a part of the word was dropped.
func (c *Client) ReportUsage(report UsageReport) bool {
	leader := c.session.Load()
	if leader == nil {
		return false
	}
	for _, part := range report.split() {
		if !leader.enqueue(&outgoing{kind: kindUsage, payload: encodeUsage(part)}) {
			return false
		}
	}
	return true
}

func (s *subscriber) receiveUsage(payload []byte) error {
	report, err := decodeUsage(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.NoteUsage(report)
	return nil
}

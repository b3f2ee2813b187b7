package feed

import (
	"github.com/landingtrail/landingtrail/connection/frame"
)

// UsageReport holds the number of requests that one instance counted when they started, by tenant
// and time window. Counters only increase, so a duplicate or late report can't lower one.
type UsageReport struct {
	// ProcessRun identifies the instance. A restarted process has a different value.
	ProcessRun string
	// Through is the time up to which the instance has reported all its counts, in Unix
	// milliseconds of the group's wall-clock time.
	Through int64
	Counts  []UsageCount
}

// UsageCount is the number of requests of a tenant that started in a time window.
type UsageCount struct {
	Window int64 // number of the window, counted from the start of 1970
	Tenant string
	Count  uint64 // all so far in this window
}

// maxUsageCounts limits the counters in one message.
const maxUsageCounts = 8192

// usageCountSize is the minimum size of an encoded counter.
const usageCountSize = 8 + 4 + 8

func encodeUsage(report UsageReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(report.ProcessRun)
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
	report := UsageReport{ProcessRun: decoder.String(), Through: decoder.Int64()}
	count := decoder.Count(usageCountSize)
	if count > maxUsageCounts {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		report.Counts = append(report.Counts, UsageCount{Window: decoder.Int64(), Tenant: decoder.String(), Count: decoder.Uint64()})
	}
	return report, decoder.Finish()
}

// split divides a report into parts that fit into one message each. Only the last part has Through
// set, since the report is incomplete before it.
func (r UsageReport) split() []UsageReport {
	var parts []UsageReport
	for len(r.Counts) > maxUsageCounts {
		parts = append(parts, UsageReport{ProcessRun: r.ProcessRun, Counts: r.Counts[:maxUsageCounts]})
		r.Counts = r.Counts[maxUsageCounts:]
	}
	return append(parts, r)
}

// ReportUsage sends a report to the leader. It returns false if there is no leader or a part was
// dropped; earlier parts were sent then.
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
	s.server.config.Group.RecordUsage(report)
	return nil
}

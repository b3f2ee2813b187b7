package feed

import (
	"context"
	"math"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
)

// Requests for replicas that have a limit are charged in the frames of quota charges. The name of the
// tenant is then limitPrefix, which no tenant's name contains, followed by the encoded request.
// Members that do not know this form know no such tenant and decline, so that daemons and members of
// both kinds can run together. For the same reason kindLimits is sent only to daemons that have asked
// for it, by a report that names no replica and the daemon in place of the service.
const limitPrefix = "\x00limit\x00"

// ChargeLimit asks the leader, or a standby member if no leader is available, for permission to send a
// request to a limited replica. It returns ErrNotCharged as Charge does.
func (c *Client) ChargeLimit(ctx context.Context, request ratelimit.Request) (ratelimit.Reply, error) {
	grant, err := c.Charge(ctx, ChargeRequest{Limit: &request, Cost: 1})
	if err != nil {
		return ratelimit.Reply{}, err
	}
	return limitReply(grant), nil
}

// ReportLimit sends this daemon's report of a replica's limit. It returns false if the message
// was dropped.
func (c *Client) ReportLimit(request ratelimit.Request) bool {
	return c.RefundCharge(ChargeRequest{Limit: &request})
}

// subscribeLimits asks for announcements of limits.
func (s *session) subscribeLimits() {
	if s.client.config.OnLimits == nil {
		return
	}
	request := ChargeRequest{Limit: &ratelimit.Request{Service: s.client.config.Daemon}}
	s.enqueue(&outgoing{kind: kindRefund, payload: encodeChargeRequest(frame.NewEncoder(nil), request)})
}

// receiveLimitsSubscription handles a request for announcements. One that a relay passes on for
// another daemon is ignored.
func (s *subscriber) receiveLimitsSubscription(request *ratelimit.Request) {
	if request.Service != s.key.daemon {
		return
	}
	s.readsLimits.Store(true)
	s.signal() // limits may have been announced before
}

// limitGrant and limitReply convert a reply to and from the form in which it is sent. Left is the rate
// in requests per second. It is infinite if there is no limit, and Wait is then the age of that report.
func limitGrant(reply ratelimit.Reply) quota.Grant {
	if reply.Report.Kind != ratelimit.Limited {
		return quota.Grant{Granted: reply.Granted, Wait: reply.Report.Age, Left: math.Inf(1)}
	}
	return quota.Grant{Granted: reply.Granted, Wait: reply.Wait, Left: reply.Report.PerSecond}
}

func limitReply(grant quota.Grant) ratelimit.Reply {
	if math.IsInf(grant.Left, 1) {
		return ratelimit.Reply{Granted: grant.Granted, Report: ratelimit.Report{Age: grant.Wait}}
	}
	report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: grant.Left}}
	return ratelimit.Reply{Granted: grant.Granted, Wait: grant.Wait, Report: report}
}

// encodeLimitTenant encodes a request in place of a tenant's name.
func encodeLimitTenant(request *ratelimit.Request) string {
	encoder := frame.NewEncoder(nil)
	encoder.String(request.Service)
	encoder.String(request.Replica)
	encodeLimitReport(encoder, request.Report)
	encoder.Int64(int64(request.Priority))
	return limitPrefix + string(encoder.Data())
}

// decodeLimitTenant is the reverse of encodeLimitTenant. It returns nil for the name of a tenant.
func decodeLimitTenant(tenant string) (*ratelimit.Request, error) {
	decoder, found := messageDecoder(tenant, limitPrefix)
	if !found {
		return nil, nil
	}
	request := &ratelimit.Request{Service: decoder.String(), Replica: decoder.String(), Report: decodeLimitReport(decoder), Priority: int(decoder.Int64())}
	return request, decoder.Finish()
}

func encodeLimitReport(encoder *frame.Encoder, report ratelimit.Report) {
	encoder.Uint8(uint8(report.Kind))
	encoder.Float64(report.PerSecond)
	encoder.Int64(int64(report.Age))
	encoder.Int64(int64(report.SentAge))
}

func decodeLimitReport(decoder *frame.Decoder) ratelimit.Report {
	report := ratelimit.Report{Statement: ratelimit.Statement{Kind: ratelimit.Kind(decoder.Uint8()), PerSecond: decoder.Float64()}, Age: time.Duration(decoder.Int64()), SentAge: time.Duration(decoder.Int64())}
	if report.Kind > ratelimit.Unclear || !(report.PerSecond >= 0) || report.Age < 0 {
		decoder.Fail(frame.ErrValue)
	}
	return report
}

// maxAnnouncedLimits limits the entries of one kindLimits frame, limitReportSize is the smallest size of one.
const (
	maxAnnouncedLimits = 512
	limitReportSize    = 4 + 1 + 8 + 8 + 8
)

func encodeLimits(reports []ratelimit.NamedReport) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint32(uint32(len(reports)))
	for _, named := range reports {
		encoder.String(named.Replica)
		encodeLimitReport(encoder, named.Report)
	}
	return encoder.Data()
}

func decodeLimits(data []byte) ([]ratelimit.NamedReport, error) {
	decoder := frame.NewDecoder(data)
	count := decoder.Count(limitReportSize)
	if count > maxAnnouncedLimits {
		decoder.Fail(frame.ErrValue)
	}
	var reports []ratelimit.NamedReport
	for i := 0; i < count && decoder.Err() == nil; i++ {
		reports = append(reports, ratelimit.NamedReport{Replica: decoder.String(), Report: decodeLimitReport(decoder)})
	}
	return reports, decoder.Finish()
}

// writeLimits announces the limits that have begun, ended or changed much since the last call, if the
// daemon reads such announcements.
func (s *subscriber) writeLimits(writer *frame.Writer) error {
	if !s.readsLimits.Load() {
		return nil
	}
	reports, generation := s.server.config.Group.AnnouncedLimits(s.limitsGeneration)
	s.limitsGeneration = generation
	for first := 0; first < len(reports); first += maxAnnouncedLimits {
		part := reports[first:min(first+maxAnnouncedLimits, len(reports))]
		if err := writer.WriteFrame(kindLimits, encodeLimits(part)); err != nil {
			return err
		}
	}
	return nil
}

// receiveLimits handles a member's announcement of limits.
func (s *session) receiveLimits(payload []byte) error {
	reports, err := decodeLimits(payload)
	if err != nil {
		return err
	}
	if s.client.config.OnLimits != nil {
		s.client.config.OnLimits(reports)
	}
	return nil
}

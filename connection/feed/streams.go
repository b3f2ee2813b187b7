package feed

import (
	"context"
	"encoding/binary"
	"strings"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/resume"
)

// What members know of streams travels in frames that earlier versions of this package know, so that daemons
// and members of both kinds can run together:
//
//   - A placement request names its streams, the software version that the stream needs, and whether it must
//     have no reader, among the excluded replicas. Other members know no replicas of such names.
//   - Reports of streams, and questions about one, are sent as charges of a tenant of no possible name
//     (streamPrefix). Other members know no such tenant and decline.
const (
	streamName   = "\x00stream\x00"
	versionName  = "\x00version\x00"
	directName   = "\x00direct\x00"
	streamPrefix = "\x00streams\x00"
)

// MaxReportedStreams limits the streams in one report.
const MaxReportedStreams = 1024

// streamSize is the encoded size of a stream in bytes.
const streamSize = 8

// FindStream asks the leader, or a standby member if no leader is available, which software version began a
// stream. Of the version it returns the hash, see resume.HashVersion; known is false if the member does not know
// the stream. It returns ErrNotCharged as Charge does.
func (c *Client) FindStream(ctx context.Context, service string, stream resume.Stream) (version uint64, known bool, err error) {
	grant, err := c.Charge(ctx, ChargeRequest{Streams: &resume.Report{Service: service, Streams: []resume.Stream{stream}}})
	return uint64(grant.Left), grant.Granted, err
}

// ReportStreams reports which version began streams to the member that places this daemon's requests. It
// returns false if the message was dropped.
func (c *Client) ReportStreams(report resume.Report) bool {
	return c.RefundCharge(ChargeRequest{Streams: &report})
}

// StreamGrant returns the form in which the answer to FindStream is sent.
func StreamGrant(version string, known bool) quota.Grant {
	return quota.Grant{Granted: known, Left: float64(resume.HashVersion(version))}
}

// EncodeStreamReport encodes a report of at most MaxReportedStreams streams.
func EncodeStreamReport(report resume.Report) []byte { return []byte(encodeStreamsTenant(&report)) }

// DecodeStreamReport is the reverse of EncodeStreamReport. It returns nil for data of another kind.
func DecodeStreamReport(data []byte) (*resume.Report, error) {
	return decodeStreamsTenant(string(data))
}

// encodeStreamsTenant encodes a report, or a question, in place of a tenant's name.
func encodeStreamsTenant(report *resume.Report) string {
	encoder := frame.NewEncoder(nil)
	encoder.String(report.Version)
	encoder.String(report.Service)
	streams := report.Streams[:min(len(report.Streams), MaxReportedStreams)]
	encoder.Uint32(uint32(len(streams)))
	for _, stream := range streams {
		encoder.Uint64(uint64(stream))
	}
	return streamPrefix + string(encoder.Data())
}

// decodeStreamsTenant is the reverse of encodeStreamsTenant. It returns nil for the name of a tenant.
func decodeStreamsTenant(tenant string) (*resume.Report, error) {
	decoder, found := messageDecoder(tenant, streamPrefix)
	if !found {
		return nil, nil
	}
	report := &resume.Report{Version: decoder.String(), Service: decoder.String()}
	count := decoder.Count(streamSize)
	if count > MaxReportedStreams {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		report.Streams = append(report.Streams, resume.Stream(decoder.Uint64()))
	}
	return report, decoder.Finish()
}

// excludedNames returns the excluded replicas, preceded by what the request says of its stream, so that a
// list that is too long is cut at its other end.
func excludedNames(request *placement.Request) []string {
	var names []string
	for _, stream := range request.Streams {
		names = append(names, streamName+string(binary.BigEndian.AppendUint64(nil, uint64(stream))))
	}
	if request.SoftwareVersion != "" {
		names = append(names, versionName+request.SoftwareVersion)
	}
	if request.DirectOnly {
		names = append(names, directName)
	}
	return append(names, request.Excluded...)
}

// setExcluded is the reverse of excludedNames.
func setExcluded(request *placement.Request, names []string) {
	for _, name := range names {
		if stream, found := strings.CutPrefix(name, streamName); found && len(stream) == streamSize {
			request.Streams = append(request.Streams, resume.Stream(binary.BigEndian.Uint64([]byte(stream))))
		} else if version, found := strings.CutPrefix(name, versionName); found {
			request.SoftwareVersion = version
		} else if name == directName {
			request.DirectOnly = true
		} else {
			request.Excluded = append(request.Excluded, name)
		}
	}
}

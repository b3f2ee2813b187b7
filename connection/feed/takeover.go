package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/placement"
)

// The messages in this file restore the placement state of a new leader or standby member. That
// state is lost with the previous one, and the daemons know most of it.

// CachedParts lists the prompt parts that a daemon believes a replica to have cached, the most
// recently used one last. Daemons send it to a leader or standby member that has just started to
// serve them, which otherwise would learn only from new requests which parts are cached where.
type CachedParts struct {
	Service string
	Replica string
	Parts   []placement.Part
}

// maxCachedParts limits the parts sent for one replica.
const maxCachedParts = 512

func encodeCachedParts(cached CachedParts) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(cached.Service)
	encoder.String(cached.Replica)
	encodeParts(encoder, cached.Parts[max(0, len(cached.Parts)-maxCachedParts):])
	return encoder.Data()
}

func decodeCachedParts(data []byte) (CachedParts, error) {
	decoder := frame.NewDecoder(data)
	cached := CachedParts{Service: decoder.String(), Replica: decoder.String(), Parts: decodeParts(decoder, maxCachedParts)}
	return cached, decoder.Finish()
}

// ReportCachedParts sends the parts that a replica is believed to have cached to the session that
// places requests. It returns false if the message was dropped.
func (c *Client) ReportCachedParts(cached CachedParts) bool {
	current := c.placementSession()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindCachedParts, payload: encodeCachedParts(cached)})
}

func (s *subscriber) receiveCachedParts(payload []byte) error {
	cached, err := decodeCachedParts(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.RecordCachedParts(cached)
	return nil
}

// InFlight lists a daemon's requests in flight to the replicas of one service, by the daemon's own
// numbers. Daemons send it to a leader or standby member that has just started to place their
// requests. Without it, the member would make bad placements until it has learned what its
// predecessor knew.
type InFlight struct {
	Service  string
	Requests map[uint64]placement.InFlightRequest
}

// Limits of one message. A daemon with more requests in flight omits the oldest, which then only
// appear in the load that replicas report.
const (
	maxInFlight = 512
	// The requests may exceed maxInFlightBytes by one, so the limit is well below that of a
	// payload.
	maxInFlightBytes = maxSubscriberPayload / 2
)

// inFlightSize is the minimum size of an encoded request in flight.
const inFlightSize = 8 + 8 + 1

func encodeInFlight(message InFlight) []byte {
	requests := frame.NewEncoder(nil)
	count := 0
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(message.Requests))) {
		if count == maxInFlight || len(requests.Data()) > maxInFlightBytes {
			break
		}
		encodePlaced(requests, number, message.Requests[number])
		count++
	}
	encoder := frame.NewEncoder(nil)
	encoder.String(message.Service)
	encoder.Uint32(uint32(count))
	return append(encoder.Data(), requests.Data()...)
}

// encodePlaced omits the replica lists that only mattered for choosing the replica.
func encodePlaced(encoder *frame.Encoder, number uint64, request placement.InFlightRequest) {
	request.Ask.Excluded, request.Ask.Connected = nil, nil
	encoder.Uint64(number)
	encoder.Int64(int64(request.Age))
	encoder.Uint8(uint8(request.Step))
	encodePlacementRequest(encoder, &request.Ask)
	encodeAnswer(encoder, &request.Answer)
}

func decodeInFlight(data []byte) (InFlight, error) {
	decoder := frame.NewDecoder(data)
	message := InFlight{Service: decoder.String(), Requests: map[uint64]placement.InFlightRequest{}}
	count := decoder.Count(inFlightSize)
	if count > maxInFlight {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		number := decoder.Uint64()
		request := placement.InFlightRequest{Age: time.Duration(decoder.Int64()), Step: placement.Step(decoder.Uint8())}
		request.Ask = decodePlacementRequest(decoder)
		request.Answer = decodeAnswer(decoder)
		message.Requests[number] = request
	}
	return message, decoder.Finish()
}

// ReportInFlight sends the daemon's requests in flight to the session that places its requests. It
// returns false if the message was dropped.
func (c *Client) ReportInFlight(message InFlight) bool {
	current := c.placementSession()
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindInFlight, payload: encodeInFlight(message)})
}

func (s *subscriber) receiveInFlight(payload []byte) error {
	message, err := decodeInFlight(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.RecordInFlight(s.key.String(), message)
	return nil
}

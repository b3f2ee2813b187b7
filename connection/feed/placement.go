package feed

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// PlaceRequest asks where to send a request of a service.
type PlaceRequest struct {
	Service string
	Number  uint64 // the daemon's own number for the request, used in progress reports
	Ask     placement.Request
	// Origin is the daemon on whose behalf another one asks, as the string form "name#instance" of
	// its daemonKey; empty for the sender itself.
	Origin string
}

// PlacementProgress reports the progress of a placed request.
type PlacementProgress struct {
	Service string
	Number  uint64
	Note    placement.ProgressReport
	Origin  string // as in PlaceRequest
}

// ErrNotPlaced says that no member placed the request, for example because there is no session, the
// send queue is full, the member declined or the answer took too long. The daemon then decides by
// its local state.
var ErrNotPlaced = errors.New("feed: no member placed the request")

// Limits of a placement request.
const (
	maxPromptParts  = 256
	maxReplicaNames = 512 // per list; enough for half of a large service to be excluded; longer lists are cut
	// Minimum sizes of encoded list elements.
	partSize = 4 + 4
	nameSize = 4
)

func encodePlace(requestID uint64, request PlaceRequest) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(requestID)
	encoder.String(request.Service)
	encoder.Uint64(request.Number)
	encodePlacementRequest(encoder, &request.Ask)
	encoder.String(request.Origin)
	return encoder.Data()
}

// encodePlacementRequest encodes what the member needs to place the request; see placement.Request
// for the fields.
func encodePlacementRequest(encoder *frame.Encoder, request *placement.Request) {
	encoder.Uint32(uint32(request.PromptTokens))
	encoder.Uint32(uint32(request.MaxOutputTokens))
	encoder.Int64(int64(request.Priority))
	encoder.String(request.Zone)
	encoder.String(request.Tenant)
	encoder.String(request.Fingerprint)
	encoder.Int64(int64(request.Objective))
	encoder.Int64(int64(request.Age))
	encoder.Int64(int64(request.Deadline))
	encoder.Bool(request.Continued)
	encodeParts(encoder, request.Parts[:min(len(request.Parts), maxPromptParts)])
	encodeNames(encoder, excludedNames(request))
	encodeNames(encoder, request.Connected)
}

func encodeParts(encoder *frame.Encoder, parts []placement.Part) {
	encoder.Uint32(uint32(len(parts)))
	for _, part := range parts {
		encoder.String(part.ID)
		encoder.Uint32(uint32(part.Tokens))
	}
}

// decodeParts fails the decoder if there are more than limit parts.
func decodeParts(decoder *frame.Decoder, limit int) []placement.Part {
	var parts []placement.Part
	count := decoder.Count(partSize)
	if count > limit {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		parts = append(parts, placement.Part{ID: decoder.String(), Tokens: int(decoder.Uint32())})
	}
	return parts
}

// encodeNames encodes the first replica names, up to the limit of a list.
func encodeNames(encoder *frame.Encoder, names []string) {
	names = names[:min(len(names), maxReplicaNames)]
	encoder.Uint32(uint32(len(names)))
	for _, name := range names {
		encoder.String(name)
	}
}

func decodeNames(decoder *frame.Decoder) []string {
	var names []string
	count := decoder.Count(nameSize)
	if count > maxReplicaNames {
		decoder.Fail(frame.ErrValue)
	}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		names = append(names, decoder.String())
	}
	return names
}

func decodePlace(data []byte) (uint64, PlaceRequest, error) {
	decoder := frame.NewDecoder(data)
	requestID := decoder.Uint64()
	request := PlaceRequest{Service: decoder.String(), Number: decoder.Uint64(), Ask: decodePlacementRequest(decoder)}
	request.Origin = decoder.String()
	return requestID, request, decoder.Finish()
}

func decodePlacementRequest(decoder *frame.Decoder) placement.Request {
	var request placement.Request
	request.PromptTokens = int(decoder.Uint32())
	request.MaxOutputTokens = int(decoder.Uint32())
	request.Priority = int(decoder.Int64())
	request.Zone = decoder.String()
	request.Tenant = decoder.String()
	request.Fingerprint = decoder.String()
	request.Objective = time.Duration(decoder.Int64())
	request.Age = time.Duration(decoder.Int64())
	request.Deadline = time.Duration(decoder.Int64())
	request.Continued = decoder.Bool()
	request.Parts = decodeParts(decoder, maxPromptParts)
	setExcluded(&request, decodeNames(decoder))
	request.Connected = decodeNames(decoder)
	return request
}

// placeReply answers a placement request; decided is false if this member does not decide.
type placeReply struct {
	requestID uint64
	decided   bool
	answer    placement.Answer
	// replicas holds the replicas in the answer that are outside the subset of a partial
	// subscription.
	replicas []*api.Replica
}

func encodePlaceReply(message placeReply) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(message.requestID)
	encoder.Bool(message.decided)
	encodeAnswer(encoder, &message.answer)
	encoder.Uint32(uint32(len(message.replicas)))
	for _, replica := range message.replicas {
		encodeReplica(encoder, replica)
	}
	return encoder.Data()
}

// encodeAnswer encodes a decision; see placement.Answer for the fields.
func encodeAnswer(encoder *frame.Encoder, answer *placement.Answer) {
	encoder.String(answer.Generator)
	encoder.String(answer.Reader)
	encoder.String(answer.FetchFrom)
	encoder.Uint32(uint32(answer.UnreadTokens))
	encoder.Int64(int64(answer.Estimate))
	encoder.Int64(int64(answer.Wait))
	encoder.Bool(answer.Deferred)
	encoder.Bool(answer.NeedsFingerprint)
	encoder.Bool(answer.Isolated)
	encoder.Bool(answer.Refused)
	encoder.Int64(int64(answer.RetryAfter))
}

func decodePlaceReply(data []byte) (placeReply, error) {
	decoder := frame.NewDecoder(data)
	message := placeReply{requestID: decoder.Uint64(), decided: decoder.Bool(), answer: decodeAnswer(decoder)}
	count := decoder.Count(replicaSize)
	for i := 0; i < count && decoder.Err() == nil; i++ {
		message.replicas = append(message.replicas, decodeReplica(decoder))
	}
	return message, decoder.Finish()
}

func decodeAnswer(decoder *frame.Decoder) placement.Answer {
	return placement.Answer{
		Generator:        decoder.String(),
		Reader:           decoder.String(),
		FetchFrom:        decoder.String(),
		UnreadTokens:     int(decoder.Uint32()),
		Estimate:         time.Duration(decoder.Int64()),
		Wait:             time.Duration(decoder.Int64()),
		Deferred:         decoder.Bool(),
		NeedsFingerprint: decoder.Bool(),
		Isolated:         decoder.Bool(),
		Refused:          decoder.Bool(),
		RetryAfter:       time.Duration(decoder.Int64()),
	}
}

// encodePlacementProgress encodes a progress report; see placement.ProgressReport for the fields.
func encodePlacementProgress(progress PlacementProgress) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.String(progress.Service)
	encoder.Uint64(progress.Number)
	encoder.Uint8(uint8(progress.Note.Step))
	replica, requests := noteFields(&progress.Note)
	encoder.String(replica)
	encoder.Uint32(requests)
	encoder.String(progress.Origin)
	return encoder.Data()
}

func decodePlacementProgress(data []byte) (PlacementProgress, error) {
	decoder := frame.NewDecoder(data)
	progress := PlacementProgress{Service: decoder.String(), Number: decoder.Uint64()}
	progress.Note.Step = placement.Step(decoder.Uint8())
	replica, requests := decoder.String(), decoder.Uint32()
	setNoteFields(&progress.Note, replica, requests)
	progress.Origin = decoder.String()
	return progress, decoder.Finish()
}

// Place asks the leader where to send a request, or a standby member if no leader is available. It
// returns ErrNotPlaced if there is no session, the send queue is full, the member declines or ctx
// ends before the answer. Asking has no lasting effect. Requests on behalf of another daemon go to
// the leader only.
func (c *Client) Place(ctx context.Context, request PlaceRequest) (placement.Answer, error) {
	current := c.placementSessionFor(request.Origin)
	if current == nil {
		return placement.Answer{}, ErrNotPlaced
	}
	answer, ok := current.ask(ctx, kindPlace, func(id uint64) []byte { return encodePlace(id, request) })
	if !ok {
		return placement.Answer{}, ErrNotPlaced
	}
	c.namedReplicas.add(answer.replicas)
	return answer.placed, nil
}

// ask sends a placement or charge request and returns its reply. It returns false if the send queue
// is full, the connection or ctx ends before the reply, or the peer declines to decide. It does not
// say whether the request arrived, which only matters for a charge.
func (s *session) ask(ctx context.Context, kind frame.Kind, encode func(id uint64) []byte) (reply, bool) {
	requestID := s.client.requestID.Add(1)
	waiting := s.register(requestID, kind)
	defer s.unregister(requestID)
	if !s.enqueue(&outgoing{kind: kind, payload: encode(requestID)}) {
		return reply{}, false
	}
	select {
	case answer := <-waiting:
		return answer, answer.code == replyDone
	case <-ctx.Done():
		s.recordUnanswered()
	case <-s.ended:
	}
	return reply{}, false
}

// RecordProgress reports the progress of a placed request to the session that places requests. It
// returns false if the message was dropped.
func (c *Client) RecordProgress(progress PlacementProgress) bool {
	current := c.placementSessionFor(progress.Origin)
	if current == nil {
		return false
	}
	return current.enqueue(&outgoing{kind: kindPlacementProgress, payload: encodePlacementProgress(progress)})
}

// receivePlace answers a placement request. A leader answers directly; on a standby subscription
// the answer is made on a separate goroutine, since a relaying daemon waits for the leader.
func (s *subscriber) receivePlace(payload []byte) error {
	requestID, request, err := decodePlace(payload)
	if err != nil {
		return err
	}
	select {
	case s.callSlots <- struct{}{}:
	default:
		return nil // too many calls in progress; the daemon decides locally
	}
	if s.standby {
		s.calls.Go(func() { s.answerPlace(requestID, request) })
		return nil
	}
	s.answerPlace(requestID, request)
	return nil
}

func (s *subscriber) answerPlace(requestID uint64, request PlaceRequest) {
	reply := placeReply{requestID: requestID}
	if s.standby || s.server.config.Group.Leadership().Leads {
		reply.answer, reply.decided = s.server.config.Group.Place(s.originKey(request.Origin), request)
		reply.replicas = s.replicasOutsideSubset(request.Origin, reply.answer.Generator, reply.answer.Reader, reply.answer.FetchFrom)
	}
	s.enqueueResponse(kindPlaceReply, encodePlaceReply(reply))
}

// originKey returns the key of the daemon on whose behalf a message was sent.
func (s *subscriber) originKey(origin string) string {
	if origin != "" {
		return origin
	}
	return s.key.String()
}

func (s *subscriber) receivePlacementProgress(payload []byte) error {
	progress, err := decodePlacementProgress(payload)
	if err != nil {
		return err
	}
	s.server.config.Group.RecordProgress(s.originKey(progress.Origin), progress)
	return nil
}

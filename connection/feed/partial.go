package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// A daemon that asks where its requests go needs few replicas of a large service itself: some
// to choose from while nobody answers, and those that answers name. A partial subscription
// brings all of the view but the replicas, of which it brings the daemon's own subset; what an
// answer names beyond that comes with the answer. So neither the bytes to a daemon nor what it
// holds grow with the replicas.

// shares is which part of each service's replicas a daemon follows. A service without an
// entry is followed whole.
type shares map[string]subset.Share

// includes reports whether the replica is one that the daemon follows.
func (s shares) includes(daemon string, replica *api.Replica) bool {
	return s[replica.Spec.Service].Includes(daemon, replica.Name)
}

// sharesOf returns the shares of the replicas that are listed; before are those until now.
func sharesOf(listed map[string]*api.Replica, before shares) shares {
	sizes := map[string]int{}
	for _, replica := range listed {
		sizes[replica.Spec.Service]++
	}
	made := shares{}
	for service, size := range sizes {
		if share := subset.ShareOf(size, before[service]); share > 0 {
			made[service] = share
		}
	}
	return made
}

// partialViews keeps what partial subscriptions to one server have in common.
type partialViews struct {
	lock    sync.Mutex
	version view.Version // of which shares are
	shares  shares
	// full is a whole view without its replicas, which are listed beside it.
	full   encodedDelta
	listed []hashedReplica
	fullAt time.Duration
	// wholeFrom is the highest revision of which it was seen that no delta leads on from it.
	wholeFrom uint64
	// latest is the last delta that anybody was sent, and payload its encoding, nil before it is
	// needed.
	latest  view.Delta
	payload []byte
}

// hashedReplica is a replica with the hash of its name, which is compared with each daemon's.
type hashedReplica struct {
	replica *api.Replica
	hash    uint64
}

// sharesNow returns the shares of the group's view. They are looked at again only where
// replicas have changed.
func (p *partialViews) sharesNow(group Group) shares {
	p.lock.Lock()
	defer p.lock.Unlock()
	current := group.View()
	if p.shares != nil && current.Version.Compare(p.version) <= 0 {
		return p.shares
	}
	if p.shares == nil || p.mayTouchReplicas(group) {
		p.shares = sharesOf(current.Replicas, p.shares)
	}
	p.version = current.Version
	return p.shares
}

// mayTouchReplicas reports whether replicas may have changed since shares were looked at.
func (p *partialViews) mayTouchReplicas(group Group) bool {
	delta, found := group.DeltaSince(p.version)
	return !found || delta.Full || touchesReplicas(delta)
}

func touchesReplicas(delta view.Delta) bool {
	return slices.ContainsFunc(delta.Objects, func(o api.Object) bool { return o.Replica != nil }) ||
		slices.ContainsFunc(delta.Removed, func(key api.Key) bool { return key.Kind == api.KindReplica })
}

// since returns the delta from a version, the same for all who ask from there. To make a full
// one takes the time of all objects, so it is only said to be one.
func (p *partialViews) since(group Group, from view.Version) (view.Delta, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if from.IsZero() || from.Revision <= p.wholeFrom {
		return view.Delta{Full: true}, from.Compare(group.Version()) < 0
	}
	if !p.latest.To.IsZero() && p.latest.From == from && p.latest.To == group.Version() {
		return p.latest, true
	}
	delta, found := group.DeltaSince(from)
	if found && delta.Full {
		p.wholeFrom = from.Revision
	} else if found {
		p.latest, p.payload = delta, nil
	}
	return delta, found
}

// encode returns the encoding of a delta. Of the latest one it is made once, since most daemons
// stand at the same version.
func (p *partialViews) encode(delta view.Delta) ([]byte, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	isLatest := delta.From == p.latest.From && delta.To == p.latest.To
	if isLatest && p.payload != nil {
		return p.payload, nil
	}
	payload, err := encodeDelta(delta)
	if isLatest && err == nil {
		p.payload = payload
	}
	return payload, err
}

// whole returns a whole view without its replicas, and these; one that was encoded lately
// where that is later than from.
func (p *partialViews) whole(group Group, from view.Version, now time.Duration) (encodedDelta, []hashedReplica, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.full.payload != nil && now-p.fullAt < fullReuse && p.full.to.Compare(from) > 0 {
		return p.full, p.listed, nil
	}
	current := group.View()
	common := *current
	common.Replicas = nil
	payload, err := encodeDelta(common.Full())
	if err != nil {
		return encodedDelta{}, nil, err
	}
	p.full, p.fullAt = encodedDelta{to: current.Version, payload: payload}, now
	p.listed = make([]hashedReplica, 0, len(current.Replicas))
	for name, replica := range current.Replicas {
		p.listed = append(p.listed, hashedReplica{replica, subset.Hash(name)})
	}
	return p.full, p.listed, nil
}

// ownReplicas is what a daemon follows of the replicas of a whole view, which comes next.
type ownReplicas struct {
	to       view.Version
	shares   shares
	replicas []*api.Replica
}

func encodeOwnReplicas(message ownReplicas) []byte {
	encoder := frame.NewEncoder(nil)
	encodeVersion(encoder, message.to)
	encodeShares(encoder, message.shares)
	encoder.Uint32(uint32(len(message.replicas)))
	for _, replica := range message.replicas {
		encodeReplica(encoder, replica)
	}
	return encoder.Data()
}

func decodeOwnReplicas(data []byte) (ownReplicas, error) {
	decoder := frame.NewDecoder(data)
	message := ownReplicas{to: decodeVersion(decoder), shares: decodeShares(decoder)}
	count := decoder.Count(replicaSize)
	for i := 0; i < count && decoder.Err() == nil; i++ {
		message.replicas = append(message.replicas, decodeReplica(decoder))
	}
	return message, decoder.Finish()
}

// Least sizes of encoded list elements.
const (
	shareSize   = 4 + 1
	replicaSize = 4
)

func encodeShares(encoder *frame.Encoder, given shares) {
	encoder.Uint32(uint32(len(given)))
	for _, service := range slices.Sorted(maps.Keys(given)) {
		encoder.String(service)
		encoder.Uint8(uint8(given[service]))
	}
}

// mostShare is the highest share that a message may name.
const mostShare = 63

func decodeShares(decoder *frame.Decoder) shares {
	count := decoder.Count(shareSize)
	read := shares{}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		service, share := decoder.String(), decoder.Uint8()
		if share > mostShare {
			decoder.Fail(frame.ErrValue)
		}
		read[service] = subset.Share(share)
	}
	return read
}

func encodeReplica(encoder *frame.Encoder, replica *api.Replica) {
	encoder.Bytes(binenc.AppendObject(nil, api.Object{Replica: replica}))
}

func decodeReplica(decoder *frame.Decoder) *api.Replica {
	reader := binenc.NewReader(decoder.Bytes())
	read := reader.Object().Replica
	if reader.Close() != nil || read == nil {
		decoder.Fail(frame.ErrValue)
	}
	return read
}

// writePartial writes what leads from the version sent last to the one applied now. News that
// change nothing of how the daemon serves wait for its next beat, with all that comes until
// then: at a start of a thousand daemons each one's coming would else be told to all others.
func (s *subscriber) writePartial(ctx context.Context, writer *frame.Writer, sent view.Version, asked bool) error {
	group := s.server.config.Group
	now := s.server.partial.sharesNow(group)
	delta, found := s.server.partial.since(group, sent)
	if !found {
		return nil
	}
	if delta.Full || !maps.Equal(now, s.shares) {
		return s.writeOwnView(ctx, writer, sent, now)
	}
	isCommon := !touchesReplicas(delta)
	if !isCommon {
		delta = s.ownPart(delta)
	}
	if !asked && !isUrgent(delta) {
		return nil
	}
	payload, err := s.encodePart(delta, isCommon)
	if err != nil {
		return err
	}
	return s.writeVersion(writer, payload, delta.To)
}

// encodePart encodes a delta, which is the same for all daemons where it is common.
func (s *subscriber) encodePart(delta view.Delta, isCommon bool) ([]byte, error) {
	if isCommon {
		return s.server.partial.encode(delta)
	}
	return encodeDelta(delta)
}

// ownPart is what a delta with replicas brings to the daemon.
func (s *subscriber) ownPart(delta view.Delta) view.Delta {
	own := delta
	own.Objects = slices.DeleteFunc(slices.Clone(delta.Objects), func(o api.Object) bool {
		return o.Replica != nil && !s.shares.includes(s.key.daemon, o.Replica)
	})
	return own
}

// isUrgent reports whether a delta holds anything but which other daemons there are.
func isUrgent(delta view.Delta) bool {
	return slices.ContainsFunc(delta.Objects, func(o api.Object) bool { return o.Proxy == nil }) ||
		slices.ContainsFunc(delta.Removed, func(key api.Key) bool { return key.Kind != api.KindProxy })
}

// writeOwnView writes a whole view, later than the version sent, with the daemon's own
// replicas.
func (s *subscriber) writeOwnView(ctx context.Context, writer *frame.Writer, sent view.Version, now shares) error {
	common, listed, err := s.server.partial.whole(s.server.config.Group, sent, s.server.config.Clock())
	if err != nil {
		return err
	}
	own := ownReplicas{to: common.to, shares: now}
	daemon := subset.Hash(s.key.daemon)
	for _, entry := range listed {
		if now[entry.replica.Spec.Service].IncludesHash(daemon, entry.hash) {
			own.replicas = append(own.replicas, entry.replica)
		}
	}
	if len(common.payload) >= bulkPayload {
		if err := s.beginBulk(ctx, writer); err != nil {
			return err
		}
		s.sendBulk(common.to)
	}
	if err := writer.WriteFrame(kindOwnReplicas, encodeOwnReplicas(own)); err != nil {
		return err
	}
	s.shares = now
	return s.writeVersion(writer, common.payload, common.to)
}

// receiveOwnReplicas keeps the replicas of the whole view that comes next.
func (s *session) receiveOwnReplicas(payload []byte) error {
	message, err := decodeOwnReplicas(payload)
	if err != nil {
		return err
	}
	if !s.client.config.Partial {
		return errors.Wrap(errMisplaced, "replicas to a subscription of whole views")
	}
	s.own = &message
	return nil
}

// addOwn completes a whole view with the replicas that came before it.
func (s *session) addOwn(delta *view.Delta) error {
	if !s.client.config.Partial || !delta.Full {
		return nil
	}
	own := s.own
	if own == nil || own.to != delta.To {
		return errors.Wrap(errProtocol, "a whole view without its replicas")
	}
	for _, replica := range own.replicas {
		delta.Objects = append(delta.Objects, api.Object{Replica: replica})
	}
	s.own = nil
	s.client.shares.Store(&own.shares)
	return nil
}

// Lister is a Group that knows of replicas which its view does not list.
type Lister interface {
	Listed(name string) *api.Replica
}

// namedBeyond returns the replicas of the names that the daemon, for which a partial
// subscription asks, does not follow.
func (s *subscriber) namedBeyond(origin string, names ...string) []*api.Replica {
	if !s.partial {
		return nil
	}
	group := s.server.config.Group
	daemon := s.key.daemon
	if origin != "" {
		daemon = daemonName(origin)
	}
	now := s.server.partial.sharesNow(group)
	var named []*api.Replica
	for _, name := range names {
		if lister, knows := group.(Lister); knows {
			if known := lister.Listed(name); known != nil {
				named = append(named, known)
			}
			continue
		}
		if listed := group.View().Replicas[name]; listed != nil && !now.includes(daemon, listed) {
			named = append(named, listed)
		}
	}
	return named
}

// named keeps the replicas that answers have named beyond the daemon's subset, the latest of
// them: those of the last maxNamed answers at least.
type named struct {
	lock           sync.Mutex
	latest, before map[string]*api.Replica
}

// maxNamed is how many replicas are kept before the older ones are dropped.
const maxNamed = 1024

func (n *named) add(replicas []*api.Replica) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, replica := range replicas {
		if n.latest == nil || len(n.latest) >= maxNamed {
			n.before, n.latest = n.latest, map[string]*api.Replica{}
		}
		n.latest[replica.Name] = replica
	}
}

func (n *named) find(name string) *api.Replica {
	n.lock.Lock()
	defer n.lock.Unlock()
	if known := n.latest[name]; known != nil {
		return known
	}
	return n.before[name]
}

// Listed returns a replica that an answer has named lately beyond the daemon's subset, or nil.
func (c *Client) Listed(name string) *api.Replica { return c.named.find(name) }

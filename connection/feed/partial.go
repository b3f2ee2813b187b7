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

// A partial subscription delivers the full view except for the replicas, of which it delivers the
// daemon's own subset. The daemon chooses among these while no member answers its placements. A
// placement reply that names a replica outside the subset includes that replica. So neither the
// bytes sent to a daemon nor the state it holds grow with the number of replicas.

// shares holds the size of a daemon's subset for each service: with a share of k, the subset
// contains about one in 2^k of the service's replicas. A service without an entry has share 0,
// which is all replicas.
type shares map[string]subset.Share

// includes reports whether the replica is in the daemon's subset.
func (s shares) includes(daemon string, replica *api.Replica) bool {
	return s[replica.Spec.Service].Includes(daemon, replica.Name)
}

// computeShares returns the shares for the replicas, given the previous shares.
func computeShares(replicas map[string]*api.Replica, previous shares) shares {
	sizes := map[string]int{}
	for _, replica := range replicas {
		sizes[replica.Spec.Service]++
	}
	computed := shares{}
	for service, size := range sizes {
		if share := subset.ShareOf(size, previous[service]); share > 0 {
			computed[service] = share
		}
	}
	return computed
}

// partialViewCache holds the state that is common to all partial subscriptions of one server.
type partialViewCache struct {
	lock          sync.Mutex
	sharesVersion view.Version // version for which shares was computed
	shares        shares
	// full is the encoding of a full view without its replicas, which are listed separately.
	full          encodedDelta
	replicas      []hashedReplica
	fullEncodedAt time.Duration
	// fullOnlyThrough is the highest revision known to be too old for an incremental delta.
	fullOnlyThrough uint64
	// latest is the most recent incremental delta that was requested. payload is its encoding, nil
	// until needed.
	latest  view.Delta
	payload []byte
}

// hashedReplica is a replica with the hash of its name, which is compared with the hash of each
// daemon's name.
type hashedReplica struct {
	replica *api.Replica
	hash    uint64
}

// currentShares returns the shares for the group's current view. It recomputes and stores them if
// replicas may have changed.
func (p *partialViewCache) currentShares(group Group) shares {
	p.lock.Lock()
	defer p.lock.Unlock()
	current := group.View()
	if p.shares != nil && current.Version.Compare(p.sharesVersion) <= 0 {
		return p.shares
	}
	if p.shares == nil || p.replicasMayHaveChanged(group) {
		p.shares = computeShares(current.Replicas, p.shares)
	}
	p.sharesVersion = current.Version
	return p.shares
}

// replicasMayHaveChanged reports whether replicas may have changed since the shares were computed.
func (p *partialViewCache) replicasMayHaveChanged(group Group) bool {
	delta, found := group.DeltaSince(p.sharesVersion)
	return !found || delta.Full || changesReplicas(delta)
}

func changesReplicas(delta view.Delta) bool {
	return slices.ContainsFunc(delta.Objects, func(o api.Object) bool { return o.Replica != nil }) ||
		slices.ContainsFunc(delta.Removed, func(key api.Key) bool { return key.Kind == api.KindReplica })
}

// deltaSince returns the delta from the given version, which is the same for all subscriptions at
// that version, and false if there is nothing to send. Building a full delta takes time
// proportional to the number of objects, so if one is needed the result has only Full set.
func (p *partialViewCache) deltaSince(group Group, from view.Version) (view.Delta, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if from.IsZero() || from.Revision <= p.fullOnlyThrough {
		return view.Delta{Full: true}, from.Compare(group.Version()) < 0
	}
	if !p.latest.To.IsZero() && p.latest.From == from && p.latest.To == group.Version() {
		return p.latest, true
	}
	delta, found := group.DeltaSince(from)
	if found && delta.Full {
		p.fullOnlyThrough = from.Revision
	} else if found {
		p.latest, p.payload = delta, nil
	}
	return delta, found
}

// encode returns the encoding of a delta. The latest delta is encoded once, since most daemons are
// at the same version.
func (p *partialViewCache) encode(delta view.Delta) ([]byte, error) {
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

// fullView returns the encoding of a full view without its replicas, and the replicas. A recent
// encoding is reused if it is newer than from.
func (p *partialViewCache) fullView(group Group, from view.Version, now time.Duration) (encodedDelta, []hashedReplica, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.full.payload != nil && now-p.fullEncodedAt < fullViewCacheTTL && p.full.to.Compare(from) > 0 {
		return p.full, p.replicas, nil
	}
	current := group.View()
	common := *current
	common.Replicas = nil
	payload, err := encodeDelta(common.Full())
	if err != nil {
		return encodedDelta{}, nil, err
	}
	p.full, p.fullEncodedAt = encodedDelta{to: current.Version, payload: payload}, now
	p.replicas = make([]hashedReplica, 0, len(current.Replicas))
	for name, replica := range current.Replicas {
		p.replicas = append(p.replicas, hashedReplica{replica, subset.Hash(name)})
	}
	return p.full, p.replicas, nil
}

// subsetReplicas holds the daemon's replicas for the full view in the next delta frame.
type subsetReplicas struct {
	version  view.Version
	shares   shares
	replicas []*api.Replica
}

func encodeSubsetReplicas(message subsetReplicas) []byte {
	encoder := frame.NewEncoder(nil)
	encodeVersion(encoder, message.version)
	encodeShares(encoder, message.shares)
	encoder.Uint32(uint32(len(message.replicas)))
	for _, replica := range message.replicas {
		encodeReplica(encoder, replica)
	}
	return encoder.Data()
}

func decodeSubsetReplicas(data []byte) (subsetReplicas, error) {
	decoder := frame.NewDecoder(data)
	message := subsetReplicas{version: decodeVersion(decoder), shares: decodeShares(decoder)}
	count := decoder.Count(replicaSize)
	for i := 0; i < count && decoder.Err() == nil; i++ {
		message.replicas = append(message.replicas, decodeReplica(decoder))
	}
	return message, decoder.Finish()
}

// Minimum sizes of encoded list elements.
const (
	shareSize   = 4 + 1
	replicaSize = 4
)

func encodeShares(encoder *frame.Encoder, byService shares) {
	encoder.Uint32(uint32(len(byService)))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		encoder.String(service)
		encoder.Uint8(uint8(byService[service]))
	}
}

// maxShare is the highest share that a message may contain. A share is a number of bits of a 64-bit
// hash.
const maxShare = 63

func decodeShares(decoder *frame.Decoder) shares {
	count := decoder.Count(shareSize)
	byService := shares{}
	for i := 0; i < count && decoder.Err() == nil; i++ {
		service, share := decoder.String(), decoder.Uint8()
		if share > maxShare {
			decoder.Fail(frame.ErrValue)
		}
		byService[service] = subset.Share(share)
	}
	return byService
}

func encodeReplica(encoder *frame.Encoder, replica *api.Replica) {
	encoder.Bytes(binenc.AppendObject(nil, api.Object{Replica: replica}))
}

func decodeReplica(decoder *frame.Decoder) *api.Replica {
	reader := binenc.NewReader(decoder.Bytes())
	replica := reader.Object().Replica
	if reader.Close() != nil || replica == nil {
		decoder.Fail(frame.ErrValue)
	}
	return replica
}

// writePartial writes the delta from the version sent last to the current one. Changes in the set
// of daemons don't affect how the daemon serves; they wait for its next heartbeat and are sent
// together with later ones. Otherwise, when a thousand daemons start, each arrival would be sent
// separately to all others.
func (s *subscriber) writePartial(ctx context.Context, writer *frame.Writer, sent view.Version, heartbeatPending bool) error {
	group := s.server.config.Group
	current := s.server.partial.currentShares(group)
	delta, found := s.server.partial.deltaSince(group, sent)
	if !found {
		return nil
	}
	if delta.Full || !maps.Equal(current, s.shares) {
		return s.writeSubsetView(ctx, writer, sent, current)
	}
	shared := !changesReplicas(delta)
	if !shared {
		delta = s.filterReplicas(delta)
	}
	if !heartbeatPending && !changesMoreThanProxies(delta) {
		return nil
	}
	payload, err := s.encodePartialDelta(delta, shared)
	if err != nil {
		return err
	}
	return s.writeDeltaFrame(writer, payload, delta.To)
}

// encodePartialDelta encodes a delta. The encoding of a common delta, which is the same for all
// daemons, is shared.
func (s *subscriber) encodePartialDelta(delta view.Delta, shared bool) ([]byte, error) {
	if shared {
		return s.server.partial.encode(delta)
	}
	return encodeDelta(delta)
}

// filterReplicas returns the delta without replicas outside the daemon's subset.
func (s *subscriber) filterReplicas(delta view.Delta) view.Delta {
	own := delta
	own.Objects = slices.DeleteFunc(slices.Clone(delta.Objects), func(o api.Object) bool {
		return o.Replica != nil && !s.shares.includes(s.key.daemon, o.Replica)
	})
	return own
}

// changesMoreThanProxies reports whether a delta contains anything other than changes in the set of
// proxies.
func changesMoreThanProxies(delta view.Delta) bool {
	return slices.ContainsFunc(delta.Objects, func(o api.Object) bool { return o.Proxy == nil }) ||
		slices.ContainsFunc(delta.Removed, func(key api.Key) bool { return key.Kind != api.KindProxy })
}

// writeSubsetView writes a full view newer than the sent version, with the daemon's subset of the
// replicas.
func (s *subscriber) writeSubsetView(ctx context.Context, writer *frame.Writer, sent view.Version, current shares) error {
	common, listed, err := s.server.partial.fullView(s.server.config.Group, sent, s.server.config.Clock())
	if err != nil {
		return err
	}
	own := subsetReplicas{version: common.to, shares: current}
	daemon := subset.Hash(s.key.daemon)
	for _, entry := range listed {
		if current[entry.replica.Spec.Service].IncludesHash(daemon, entry.hash) {
			own.replicas = append(own.replicas, entry.replica)
		}
	}
	if len(common.payload) >= bulkThresholdBytes {
		if err := s.acquireBulkSlot(ctx, writer); err != nil {
			return err
		}
		s.recordBulkSent(common.to)
	}
	if err := writer.WriteFrame(kindSubsetReplicas, encodeSubsetReplicas(own)); err != nil {
		return err
	}
	s.shares = current
	return s.writeDeltaFrame(writer, common.payload, common.to)
}

// receiveSubsetReplicas stores the replicas that belong to the next full view.
func (s *session) receiveSubsetReplicas(payload []byte) error {
	message, err := decodeSubsetReplicas(payload)
	if err != nil {
		return err
	}
	if !s.client.config.Partial {
		return errors.Wrap(errUnexpectedFrame, "subset replicas on a full subscription")
	}
	s.pendingSubset = &message
	return nil
}

// addSubsetReplicas adds the replicas received before a full view to it.
func (s *session) addSubsetReplicas(delta *view.Delta) error {
	if !s.client.config.Partial || !delta.Full {
		return nil
	}
	own := s.pendingSubset
	if own == nil || own.version != delta.To {
		return errors.Wrap(errProtocol, "full view without its subset replicas")
	}
	for _, replica := range own.replicas {
		delta.Objects = append(delta.Objects, api.Object{Replica: replica})
	}
	s.pendingSubset = nil
	s.client.shares.Store(&own.shares)
	return nil
}

// ReplicaLookup is implemented by a Group that knows replicas which are not in its view.
type ReplicaLookup interface {
	// ReplicaByName returns the named replica, whether it is in the view or not, or nil if it is
	// unknown.
	ReplicaByName(name string) *api.Replica
}

// replicasOutsideSubset returns the named replicas that are outside the daemon's subset; if the
// group is a ReplicaLookup, whose view is itself a subset, it returns all of them that are known.
// It returns none for a full subscription. The daemon is the origin of the request, or the
// subscriber itself if origin is empty.
func (s *subscriber) replicasOutsideSubset(origin string, names ...string) []*api.Replica {
	if !s.partial {
		return nil
	}
	group := s.server.config.Group
	daemon := s.key.daemon
	if origin != "" {
		daemon = daemonName(origin)
	}
	current := s.server.partial.currentShares(group)
	var outside []*api.Replica
	for _, name := range names {
		if lookup, isLookup := group.(ReplicaLookup); isLookup {
			if known := lookup.ReplicaByName(name); known != nil {
				outside = append(outside, known)
			}
			continue
		}
		if listed := group.View().Replicas[name]; listed != nil && !current.includes(daemon, listed) {
			outside = append(outside, listed)
		}
	}
	return outside
}

// namedReplicas caches replicas outside the daemon's subset that placement replies have included.
// It holds two generations, so that at least the last maxNamedPerGeneration replicas are kept.
type namedReplicas struct {
	lock              sync.Mutex
	current, previous map[string]*api.Replica
}

// maxNamedPerGeneration is the number of replicas after which a new generation starts and the
// older one is dropped.
const maxNamedPerGeneration = 1024

func (n *namedReplicas) add(replicas []*api.Replica) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, replica := range replicas {
		if n.current == nil || len(n.current) >= maxNamedPerGeneration {
			n.previous, n.current = n.current, map[string]*api.Replica{}
		}
		n.current[replica.Name] = replica
	}
}

func (n *namedReplicas) find(name string) *api.Replica {
	n.lock.Lock()
	defer n.lock.Unlock()
	if known := n.current[name]; known != nil {
		return known
	}
	return n.previous[name]
}

// ReplicaByName returns a replica outside the daemon's subset that a recent placement reply has
// included, or nil.
func (c *Client) ReplicaByName(name string) *api.Replica { return c.namedReplicas.find(name) }

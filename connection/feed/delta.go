package feed

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/compress"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

// compressThresholdBytes is the size from which a delta is compressed. The first byte of the
// payload is deltaCompressed if it is; any other value means that it is not.
const compressThresholdBytes = 1 << 10

const (
	deltaUncompressed byte = iota
	deltaCompressed
)

func encodeDelta(delta view.Delta) ([]byte, error) {
	data, err := delta.AppendBinary([]byte{deltaUncompressed})
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode delta")
	}
	if len(data) < compressThresholdBytes {
		return data, nil
	}
	return append([]byte{deltaCompressed}, compress.Pack(data[1:])...), nil
}

func decodeDelta(data []byte) (view.Delta, error) {
	if len(data) == 0 {
		return view.Delta{}, errors.Wrap(errProtocol, "delta payload is empty")
	}
	body := data[1:]
	if data[0] == deltaCompressed {
		decompressed, err := compress.Unpack(body, maxServerPayload)
		if err != nil {
			return view.Delta{}, errors.Wrap(errProtocol, err.Error())
		}
		body = decompressed
	}
	delta, err := view.DecodeDelta(body)
	return delta, errors.Wrap(err, "feed: decode delta")
}

// fullViewCacheTTL is how long the encoding of a full view is reused. Later changes follow as a
// small delta.
const fullViewCacheTTL = time.Second

// deltaCache caches the encoding of the latest delta, since most subscribers are at the same
// version, and the encoding of a full view. The latter may be a little out of date, since encoding
// the current view again for each daemon would take too long when all of them start at once: the
// view changes faster than it is encoded.
type deltaCache struct {
	lock   sync.Mutex
	latest encodedDelta
	// fullLock is held while a full view is encoded, so that it is encoded once.
	fullLock      sync.Mutex
	full          encodedDelta
	fullEncodedAt time.Duration
}

type encodedDelta struct {
	from, to view.Version // from is zero for a full view
	payload  []byte
}

// deltaSince returns an encoded delta from the given version to a recently applied one, and that
// version. It returns nil and from if there is nothing to send.
func (c *deltaCache) deltaSince(group Group, from view.Version, now time.Duration) ([]byte, view.Version, error) {
	if from.IsZero() {
		return c.fullView(group, from, now)
	}
	if payload, to, found := c.lookup(from, group.Version()); found {
		return payload, to, nil
	}
	delta, found := group.DeltaSince(from)
	if !found {
		return nil, from, nil
	}
	if delta.Full {
		return c.fullView(group, from, now)
	}
	payload, err := encodeDelta(delta)
	if err != nil {
		return nil, from, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.latest = encodedDelta{from: from, to: delta.To, payload: payload}
	return payload, delta.To, nil
}

// lookup returns the latest delta if it is the one between the two versions.
func (c *deltaCache) lookup(from, to view.Version) ([]byte, view.Version, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.latest.payload == nil || c.latest.from != from || c.latest.to != to {
		return nil, view.Version{}, false
	}
	return c.latest.payload, c.latest.to, true
}

// fullView returns the encoding of a full view that is newer than from, and its version. It returns
// nil and from if there is none.
func (c *deltaCache) fullView(group Group, from view.Version, now time.Duration) ([]byte, view.Version, error) {
	c.fullLock.Lock()
	defer c.fullLock.Unlock()
	if c.full.payload != nil && now-c.fullEncodedAt < fullViewCacheTTL && c.full.to.Compare(from) > 0 {
		return c.full.payload, c.full.to, nil
	}
	delta, found := group.DeltaSince(view.Version{})
	if !found || delta.To.Compare(from) <= 0 {
		return nil, from, nil
	}
	payload, err := encodeDelta(delta)
	if err != nil {
		return nil, from, err
	}
	c.full, c.fullEncodedAt = encodedDelta{to: delta.To, payload: payload}, now
	return payload, delta.To, nil
}

package feed

import (
	"sync"

	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

func encodeDelta(delta view.Delta) ([]byte, error) {
	data, err := delta.AppendBinary(nil)
	return data, errors.Wrap(err, "feed: encode delta")
}

func decodeDelta(data []byte) (view.Delta, error) {
	delta, err := view.DecodeDelta(data)
	return delta, errors.Wrap(err, "feed: decode delta")
}

// deltaCache keeps the encoding of the latest delta, since most subscribers
// stand at the same version.
type deltaCache struct {
	lock    sync.Mutex
	from    view.Version
	to      view.Version
	payload []byte
}

// since returns the encoded delta from a version to the one applied now, or nil
// when there is nothing to send.
func (c *deltaCache) since(group Group, from view.Version) ([]byte, view.Version, error) {
	if payload, to, found := c.find(from, group.Version()); found {
		return payload, to, nil
	}
	delta, found := group.DeltaSince(from)
	if !found {
		return nil, from, nil
	}
	payload, err := encodeDelta(delta)
	if err != nil {
		return nil, from, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.from, c.to, c.payload = from, delta.To, payload
	return payload, delta.To, nil
}

func (c *deltaCache) find(from, to view.Version) ([]byte, view.Version, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.payload == nil || c.from != from || c.to != to {
		return nil, view.Version{}, false
	}
	return c.payload, c.to, true
}

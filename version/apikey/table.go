package apikey

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/landingtrail/landingtrail/version/api"
)

// shards is into how many parts a Table is divided by the first byte of digests. A change
// of few keys copies few parts.
const shards = 256

// Table finds the tenant of a key. It is immutable: Follow returns another one that shares
// with it what has not changed.
type Table struct {
	secret   []byte
	digester *Digester
	tenants  map[string]*api.RouteTenant
	shards   [shards][]entry // each sorted by digest
}

// entry is one key. The tenant is named, so that one whose rank or other keys change
// leaves the entry as it is.
type entry struct {
	digest api.KeyDigest
	tenant string
}

// NewTable returns a table that knows no key.
func NewTable() *Table { return &Table{digester: NewDigester(nil)} }

// Follow returns the table of a version's tenants under its secret. The map must not be
// written to afterwards.
func (t *Table) Follow(secret []byte, tenants map[string]*api.RouteTenant) *Table {
	if !bytes.Equal(secret, t.secret) {
		t = &Table{secret: secret, digester: NewDigester(secret)}
	}
	next := *t
	next.tenants = tenants
	change := changes{table: &next}
	for name, known := range t.tenants {
		if tenants[name] != known {
			change.remove(name, without(known, tenants[name]))
		}
	}
	for name, tenant := range tenants {
		if known := t.tenants[name]; known != tenant {
			change.add(name, without(tenant, known))
		}
	}
	return &next
}

// without returns the digests of a tenant that another version of it lacks; either may be
// nil. Both lists are sorted.
func without(of, other *api.RouteTenant) []api.KeyDigest {
	if of == nil || other == nil {
		return digestsOf(of)
	}
	var rest []api.KeyDigest
	for _, digest := range of.Spec.Digests {
		if _, found := slices.BinarySearchFunc(other.Spec.Digests, digest, compare); !found {
			rest = append(rest, digest)
		}
	}
	return rest
}

func digestsOf(tenant *api.RouteTenant) []api.KeyDigest {
	if tenant == nil {
		return nil
	}
	return tenant.Spec.Digests
}

// changes writes to a table that nobody else has yet; parts that it shares with the table
// before are copied first.
type changes struct {
	table *Table
	owned [shards]bool
}

func (c *changes) shard(digest api.KeyDigest) *[]entry {
	shard := &c.table.shards[digest[0]]
	if !c.owned[digest[0]] {
		*shard = slices.Clone(*shard)
		c.owned[digest[0]] = true
	}
	return shard
}

func (c *changes) add(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := c.shard(digest)
		*shard = slices.Insert(*shard, place(*shard, digest), entry{digest: digest, tenant: tenant})
	}
}

// remove takes out the entries of one tenant: a key may go from one tenant to another in
// one change.
func (c *changes) remove(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := c.shard(digest)
		gone := entry{digest: digest, tenant: tenant}
		for at := place(*shard, digest); at < len(*shard) && (*shard)[at].digest == digest; at++ {
			if (*shard)[at] == gone {
				*shard = slices.Delete(*shard, at, at+1)
				break
			}
		}
	}
}

// place is where the first entry of a digest stands, or would stand.
func place(shard []entry, digest api.KeyDigest) int {
	return sort.Search(len(shard), func(i int) bool { return compare(shard[i].digest, digest) >= 0 })
}

// Find returns the tenant that has the key, nil for none.
func (t *Table) Find(key string) *api.RouteTenant {
	digest := t.digester.Digest(key)
	shard := t.shards[digest[0]]
	first := sort.Search(len(shard), func(i int) bool { return begin(shard[i].digest) >= begin(digest) })
	var found *api.RouteTenant
	for _, known := range shard[first:] {
		if begin(known.digest) != begin(digest) {
			break
		}
		if subtle.ConstantTimeCompare(known.digest[:], digest[:]) == 1 {
			found = t.tenants[known.tenant]
		}
	}
	return found
}

// begin is the first half of a digest as a number, by which it is looked for.
func begin(digest api.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

func compare(a, b api.KeyDigest) int { return bytes.Compare(a[:], b[:]) }

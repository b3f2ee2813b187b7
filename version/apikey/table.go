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
const shardCount = 256

// Table maps API keys to tenants. It is immutable: Follow returns a new table that shares
// the unchanged shards with its predecessor.
type Table struct {
	secret   []byte
	digester *Digester
	tenants  map[string]*api.RouteTenant
	shards   [shardCount][]entry // each sorted by digest
}

// entry maps the digest of one key to its tenant. It refers to the tenant by name, so it
// stays valid when the tenant's priority or other keys change.
type entry struct {
	digest api.KeyDigest
	tenant string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{digester: NewDigester(nil)} }

// Follow returns a table of the given tenants, whose digests were computed under secret. If
// the secret is unchanged, only the differences from t are applied; otherwise the table is
// built from scratch. The caller must not modify the map afterwards.
func (t *Table) Follow(secret []byte, tenants map[string]*api.RouteTenant) *Table {
	if !bytes.Equal(secret, t.secret) {
		t = &Table{secret: secret, digester: NewDigester(secret)}
	}
	next := *t
	next.tenants = tenants
	editor := tableEditor{table: &next}
	for name, known := range t.tenants {
		if tenants[name] != known {
			editor.remove(name, digestDifference(known, tenants[name]))
		}
	}
	for name, tenant := range tenants {
		if known := t.tenants[name]; known != tenant {
			editor.add(name, digestDifference(tenant, known))
		}
	}
	return &next
}

// without returns the digests of a tenant that another version of it lacks; either may be
// nil. Both lists are sorted.
func digestDifference(tenant, other *api.RouteTenant) []api.KeyDigest {
	if tenant == nil || other == nil {
		return digestsOf(tenant)
	}
	var rest []api.KeyDigest
	for _, digest := range tenant.Spec.Digests {
		if _, found := slices.BinarySearchFunc(other.Spec.Digests, digest, compareDigests); !found {
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
type tableEditor struct {
	table *Table
	owned [shardCount]bool
}

func (c *tableEditor) shard(digest api.KeyDigest) *[]entry {
	shard := &c.table.shards[digest[0]]
	if !c.owned[digest[0]] {
		*shard = slices.Clone(*shard)
		c.owned[digest[0]] = true
	}
	return shard
}

func (c *tableEditor) add(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := c.shard(digest)
		*shard = slices.Insert(*shard, lowerBound(*shard, digest), entry{digest: digest, tenant: tenant})
	}
}

// remove deletes the entries that match both digest and tenant. One update may move a key to
// another tenant, so an entry of the new tenant with the same digest may already exist.
func (c *tableEditor) remove(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := c.shard(digest)
		removed := entry{digest: digest, tenant: tenant}
		for at := lowerBound(*shard, digest); at < len(*shard) && (*shard)[at].digest == digest; at++ {
			if (*shard)[at] == removed {
				*shard = slices.Delete(*shard, at, at+1)
				break
			}
		}
	}
}

// place is where the first entry of a digest stands, or would stand.
func lowerBound(shard []entry, digest api.KeyDigest) int {
	return sort.Search(len(shard), func(i int) bool { return compareDigests(shard[i].digest, digest) >= 0 })
}

// Find returns the tenant that owns key, or nil if there is none.
func (t *Table) Find(key string) *api.RouteTenant {
	digest := t.digester.Digest(key)
	shard := t.shards[digest[0]]
	first := sort.Search(len(shard), func(i int) bool { return digestPrefix(shard[i].digest) >= digestPrefix(digest) })
	var found *api.RouteTenant
	for _, known := range shard[first:] {
		if digestPrefix(known.digest) != digestPrefix(digest) {
			break
		}
		if subtle.ConstantTimeCompare(known.digest[:], digest[:]) == 1 {
			found = t.tenants[known.tenant]
		}
	}
	return found
}

// begin is the first half of a digest as a number, by which it is looked for.
func digestPrefix(digest api.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

func compareDigests(a, b api.KeyDigest) int { return bytes.Compare(a[:], b[:]) }

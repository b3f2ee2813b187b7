package apikey

import (
	"bytes"
	"crypto/subtle"
	"encoding/binary"
	"slices"
	"sort"

	"github.com/landingtrail/landingtrail/version/api"
)

// shardCount is the number of shards of a Table, selected by the first byte of a digest. An
// update of a few keys copies only the shards that contain them.
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
// built from scratch. Tenants are compared by pointer: the caller must not modify the
// map, the tenants or the secret afterwards.
func (t *Table) Follow(secret []byte, tenants map[string]*api.RouteTenant) *Table {
	if !bytes.Equal(secret, t.secret) {
		t = &Table{secret: secret, digester: NewDigester(secret)}
	}
	next := *t
	next.tenants = tenants
	editor := tableEditor{table: &next}
	for name, previous := range t.tenants {
		if tenants[name] != previous {
			editor.remove(name, digestDifference(previous, tenants[name]))
		}
	}
	for name, tenant := range tenants {
		if previous := t.tenants[name]; previous != tenant {
			editor.add(name, digestDifference(tenant, previous))
		}
	}
	return &next
}

// digestDifference returns the digests of tenant that are absent from other, which is another
// version of the same tenant. Either may be nil. Both digest lists must be sorted.
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

// tableEditor modifies a table that is not yet published. It copies a shard that is shared
// with the previous table before the first write to it.
type tableEditor struct {
	table *Table
	owned [shardCount]bool
}

// writableShard returns the shard of digest for writing.
func (e *tableEditor) writableShard(digest api.KeyDigest) *[]entry {
	shard := &e.table.shards[digest[0]]
	if !e.owned[digest[0]] {
		*shard = slices.Clone(*shard)
		e.owned[digest[0]] = true
	}
	return shard
}

func (e *tableEditor) add(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := e.writableShard(digest)
		*shard = slices.Insert(*shard, lowerBound(*shard, digest), entry{digest: digest, tenant: tenant})
	}
}

// remove deletes the entries of the given digests that belong to tenant. It leaves those of
// other tenants, because one update may move a key from one tenant to another.
func (e *tableEditor) remove(tenant string, digests []api.KeyDigest) {
	for _, digest := range digests {
		shard := e.writableShard(digest)
		removed := entry{digest: digest, tenant: tenant}
		for at := lowerBound(*shard, digest); at < len(*shard) && (*shard)[at].digest == digest; at++ {
			if (*shard)[at] == removed {
				*shard = slices.Delete(*shard, at, at+1)
				break
			}
		}
	}
}

// lowerBound returns the index of the first entry whose digest is not less than digest.
func lowerBound(shard []entry, digest api.KeyDigest) int {
	return sort.Search(len(shard), func(i int) bool { return compareDigests(shard[i].digest, digest) >= 0 })
}

// Find returns the tenant that owns key, or nil if there is none. If several tenants own
// it, the last entry found wins.
func (t *Table) Find(key string) *api.RouteTenant {
	digest := t.digester.Digest(key)
	shard := t.shards[digest[0]]
	first := sort.Search(len(shard), func(i int) bool { return digestPrefix(shard[i].digest) >= digestPrefix(digest) })
	var found *api.RouteTenant
	for _, candidate := range shard[first:] {
		if digestPrefix(candidate.digest) != digestPrefix(digest) {
			break
		}
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			found = t.tenants[candidate.tenant]
		}
	}
	return found
}

// digestPrefix returns the first 8 bytes of a digest as an integer, the search key of Find.
func digestPrefix(digest api.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

func compareDigests(a, b api.KeyDigest) int { return bytes.Compare(a[:], b[:]) }

// Package apikey identifies tenants by their API keys without storing the keys.
//
// A key is represented by a keyed digest: HMAC-SHA-256 under a secret, truncated to 128
// bits. A digest cannot be used as a key, and guesses cannot be tested without the secret. Lookups
// compare digests in constant time. The search before that comparison depends only on a
// digest that callers cannot compute, so its timing reveals nothing about existing keys.
package apikey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"slices"
	"sync"

	"github.com/landingtrail/landingtrail/version/api"
)

// SecretBytes is the length of a secret, equal to the output size of the hash.
const SecretBytes = sha256.Size

// NewSecret returns a random secret of SecretBytes bytes.
func NewSecret() []byte {
	secret := make([]byte, SecretBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	return secret
}

// Digester computes key digests under one secret. It is safe for concurrent use.
type Digester struct {
	hashes sync.Pool
}

// NewDigester returns a Digester that uses secret as its HMAC key.
func NewDigester(secret []byte) *Digester {
	return &Digester{hashes: sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}}
}

// Digest returns the digest of key.
func (d *Digester) Digest(key string) api.KeyDigest {
	mac := d.hashes.Get().(hash.Hash)
	defer d.hashes.Put(mac)
	mac.Reset()
	_, _ = mac.Write([]byte(key)) // hash.Hash.Write never returns an error
	var sum [sha256.Size]byte
	var digest api.KeyDigest
	copy(digest[:], mac.Sum(sum[:0]))
	return digest
}

// Seal replaces the tenants' keys by their digests under secret and returns the tenants in
// their stored form, sorted by name. Digests are sorted and free of duplicates. The tenants'
// names must be distinct.
func Seal(secret []byte, tenants []api.TenantKeys) []api.RouteTenant {
	digester := NewDigester(secret)
	sealed := make([]api.RouteTenant, 0, len(tenants))
	for i := range tenants {
		digests := make([]api.KeyDigest, 0, len(tenants[i].Keys))
		for _, key := range tenants[i].Keys {
			digests = append(digests, digester.Digest(key))
		}
		slices.SortFunc(digests, compareDigests)
		digests = slices.Compact(digests)
		sealed = append(sealed, api.RouteTenant{
			Metadata: api.Metadata{Name: tenants[i].Name},
			Spec:     api.RouteTenantSpec{Priority: tenants[i].Priority, Digests: digests, Keys: len(digests), Quota: tenants[i].Quota},
		})
	}
	slices.SortFunc(sealed, func(a, b api.RouteTenant) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return sealed
}

// Package apikey knows callers by their API keys without keeping a key.
//
// A key is known by its digest under a secret: HMAC-SHA-256, cut to 128 bits. Whoever has
// digests alone can neither use nor try keys. The look-up compares digests in constant
// time, and what it does before depends on a digest that callers cannot work out, so its
// time tells nothing of the keys that exist.
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

// SecretBytes is the length of a secret, that of the hash's output.
const SecretBytes = sha256.Size

// NewSecret draws a secret.
func NewSecret() []byte {
	secret := make([]byte, SecretBytes)
	_, _ = rand.Read(secret) // it never fails; see crypto/rand
	return secret
}

// Digester makes digests under one secret. It is safe for concurrent use.
type Digester struct {
	hashes sync.Pool
}

// NewDigester returns a Digester under the secret.
func NewDigester(secret []byte) *Digester {
	return &Digester{hashes: sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}}
}

// Digest returns the digest of a key.
func (d *Digester) Digest(key string) api.KeyDigest {
	mac := d.hashes.Get().(hash.Hash)
	defer d.hashes.Put(mac)
	mac.Reset()
	_, _ = mac.Write([]byte(key)) // a hash takes everything
	var sum [sha256.Size]byte
	var digest api.KeyDigest
	copy(digest[:], mac.Sum(sum[:0]))
	return digest
}

// Seal turns tenants with keys into such as are stored: with digests, sorted by name.
func Seal(secret []byte, tenants []api.TenantKeys) []api.RouteTenant {
	digester := NewDigester(secret)
	sealed := make([]api.RouteTenant, 0, len(tenants))
	for i := range tenants {
		digests := make([]api.KeyDigest, 0, len(tenants[i].Keys))
		for _, key := range tenants[i].Keys {
			digests = append(digests, digester.Digest(key))
		}
		slices.SortFunc(digests, compare)
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

package api

// KeyDigestBytes is the length of a KeyDigest. 128 bits make a collision between two keys of a
// deployment practically impossible.
const KeyDigestBytes = 16

// KeyDigest identifies an API key without containing it; see package apikey.
type KeyDigest [KeyDigestBytes]byte

// TenantKeys is an API tenant as submitted by an operator. It contains plaintext keys, so it
// must be neither stored nor logged.
type TenantKeys struct {
	Name string `json:"name" yaml:"name"`
	// Priority overrides the route's priority for the tenant's requests, unless it is nil;
	// 0 is the most urgent.
	Priority *int     `json:"priority,omitempty" yaml:"priority,omitempty"`
	Keys     []string `json:"keys" yaml:"keys"`
	// Quota limits the tenant's use across all proxies.
	Quota Quota `json:"quota,omitzero" yaml:"quota,omitempty"`
}

// RouteTenant is an API tenant in its stored and distributed form. It is replaced together
// with the Ingress.
type RouteTenant struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     RouteTenantSpec `json:"spec" yaml:"spec"`
}

// RouteTenantSpec holds the key digests, the priority and the quota of a tenant.
type RouteTenantSpec struct {
	Priority *int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Digests are the sorted digests of the tenant's keys. They are never exposed, because
	// with them and the secret an attacker could test guesses of keys.
	Digests []KeyDigest `json:"-" yaml:"-"`
	// Keys is the number of keys of the tenant.
	Keys int `json:"keys" yaml:"keys"`
	// Quota limits the tenant's use across all proxies.
	Quota Quota `json:"quota,omitzero" yaml:"quota,omitempty"`
}

// Equal reports whether the specs are identical.
func (s *RouteTenantSpec) Equal(other *RouteTenantSpec) bool {
	return equalPriority(s.Priority, other.Priority) && s.Keys == other.Keys && s.Quota == other.Quota && equalDigests(s.Digests, other.Digests)
}

func equalPriority(a, b *int) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func equalDigests(a, b []KeyDigest) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

package api

// KeyDigestBytes is the length of a KeyDigest: 128 bits are enough that no two keys of a
// deployment share one by chance.
const KeyDigestBytes = 16

// KeyDigest stands for an API key wherever the key itself is not needed.
type KeyDigest [KeyDigestBytes]byte

// TenantKeys is a tenant of the routes as an operator sends it. It holds keys: it is
// neither stored nor logged.
type TenantKeys struct {
	Name string `json:"name" yaml:"name"`
	// Priority replaces that of the routes for the tenant's requests; nil leaves it.
	Priority *int     `json:"priority,omitempty" yaml:"priority,omitempty"`
	Keys     []string `json:"keys" yaml:"keys"`
	// Quota bounds what the tenant may have run.
	Quota Quota `json:"quota,omitzero" yaml:"quota,omitempty"`
}

// RouteTenant is a tenant of the routes as it is stored and distributed. It is replaced
// together with the Ingress.
type RouteTenant struct {
	Metadata `json:"metadata" yaml:"metadata"`
	Spec     RouteTenantSpec `json:"spec" yaml:"spec"`
}

// RouteTenantSpec says how the tenant is known and ranked.
type RouteTenantSpec struct {
	Priority *int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Digests are those of the tenant's keys, sorted. They are shown to nobody: who had
	// them and the secret could try keys.
	Digests []KeyDigest `json:"-" yaml:"-"`
	// Keys is how many keys the tenant has.
	Keys int `json:"keys" yaml:"keys"`
	// Quota bounds what the tenant may have run.
	Quota Quota `json:"quota,omitzero" yaml:"quota,omitempty"`
}

// Equal reports whether both say the same.
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

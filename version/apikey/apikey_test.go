package apikey

import (
	"fmt"
	"slices"
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func tenantsByName(sealed []api.RouteTenant) map[string]*api.RouteTenant {
	tenants := map[string]*api.RouteTenant{}
	for i := range sealed {
		tenants[sealed[i].Name] = &sealed[i]
	}
	return tenants
}

func TestFindReturnsTenantOfKey(t *testing.T) {
	secret := NewSecret()
	sealed := Seal(secret, []api.TenantKeys{
		{Name: "north", Keys: []string{"n-1", "n-2", "n-1"}}, {Name: "south", Keys: []string{"s-1"}}, {Name: "none"},
	})
	must.Eq(t, "none", sealed[0].Name, must.Sprint("tenants are sorted so that equal sets have equal encodings"))
	must.Eq(t, 2, sealed[1].Spec.Keys)
	table := NewTable().Follow(secret, tenantsByName(sealed))
	must.Eq(t, "north", table.Find("n-2").Name)
	must.Eq(t, "south", table.Find("s-1").Name)
	for _, unknown := range []string{"", "n-3", "N-1", "n-1 "} {
		must.Nil(t, table.Find(unknown), must.Sprint(unknown))
	}
	must.Nil(t, NewTable().Find(""))
}

// A digest computed under one secret must not match under another.
func TestDigestsDependOnSecret(t *testing.T) {
	keys := []api.TenantKeys{{Name: "north", Keys: []string{"n-1"}}}
	sealed := Seal(NewSecret(), keys)
	must.Nil(t, NewTable().Follow(NewSecret(), tenantsByName(sealed)).Find("n-1"))
}

// After any sequence of updates, a table must return the same results as one built from
// scratch, and its predecessors must be unaffected.
func TestIncrementalUpdateMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := NewSecret()
		table := NewTable()
		tenants := map[string]*api.RouteTenant{}
		for range 8 {
			next := map[string]*api.RouteTenant{}
			for name, known := range tenants {
				next[name] = known
			}
			name := fmt.Sprint("tenant-", rapid.IntRange(0, 3).Draw(t, "tenant"))
			delete(next, name)
			if rapid.Bool().Draw(t, "present") {
				var keys []string
				for k := range rapid.IntRange(0, 40).Draw(t, "keys") {
					keys = append(keys, fmt.Sprint(name, "-", k))
				}
				sealed := Seal(secret, []api.TenantKeys{{Name: name, Keys: keys}})
				next[name] = &sealed[0]
			}
			before := tenants
			following := table.Follow(secret, next)
			requireSameLookups(t, table, before)
			requireSameLookups(t, following, next)
			table, tenants = following, next
		}
	})
}

// A key that one update moves between tenants must belong to the new tenant, whatever the
// order in which the tenants are processed.
func TestKeyMovesBetweenTenants(t *testing.T) {
	secret := NewSecret()
	table := NewTable().Follow(secret, tenantsByName(Seal(secret, []api.TenantKeys{{Name: "a", Keys: []string{"k"}}, {Name: "b"}})))
	for range 20 { // map iteration order is random
		next := table.Follow(secret, tenantsByName(Seal(secret, []api.TenantKeys{{Name: "a"}, {Name: "b", Keys: []string{"k"}}})))
		must.Eq(t, "b", next.Find("k").Name)
		must.Eq(t, "a", table.Find("k").Name)
	}
}

func requireSameLookups(t *rapid.T, table *Table, tenants map[string]*api.RouteTenant) {
	for number := range 4 {
		name := fmt.Sprint("tenant-", number)
		for k := range 40 {
			want := tenants[name]
			if want != nil && k >= want.Spec.Keys {
				want = nil
			}
			must.True(t, table.Find(fmt.Sprint(name, "-", k)) == want)
		}
	}
}

func generateTenants(tenants, keys int) (secret []byte, byName map[string]*api.RouteTenant) {
	secret = NewSecret()
	var submitted []api.TenantKeys
	for i := range tenants {
		tenant := api.TenantKeys{Name: fmt.Sprint("tenant-", i)}
		for k := range keys {
			tenant.Keys = append(tenant.Keys, fmt.Sprintf("key-%d-%d", i, k))
		}
		submitted = append(submitted, tenant)
	}
	return secret, tenantsByName(Seal(secret, submitted))
}

// BenchmarkFind uses 3,125 tenants with 32 keys each: the target load of 100,000 keys.
func BenchmarkFind(b *testing.B) {
	secret, tenants := generateTenants(3125, 32)
	table := NewTable().Follow(secret, tenants)
	b.ReportAllocs()
	for b.Loop() {
		if table.Find("key-77-3") == nil {
			b.Fatal("not found")
		}
	}
}

// BenchmarkFollow replaces one key of each of 100 tenants.
func BenchmarkFollow(b *testing.B) {
	secret, tenants := generateTenants(3125, 32)
	table := NewTable().Follow(secret, tenants)
	next := map[string]*api.RouteTenant{}
	for name, known := range tenants {
		next[name] = known
	}
	for i := range 100 {
		name := fmt.Sprint("tenant-", i)
		sealed := Seal(secret, []api.TenantKeys{{Name: name, Keys: []string{fmt.Sprint("new-", i)}}})
		added := *tenants[name]
		added.Spec.Digests = append(slices.Clone(added.Spec.Digests[1:]), sealed[0].Spec.Digests...)
		slices.SortFunc(added.Spec.Digests, compareDigests)
		next[name] = &added
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Follow(secret, next)
	}
}

package lint

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Change is a field that differs between the Ingress in force and another one. Entries are found
// again by their names. An empty value means that the field is absent or has its zero value; an
// entry that is added or removed is one Change without a field.
type Change struct {
	Entry  string `json:"entry"` // such as "routes[NAME]"
	Field  string `json:"field,omitempty"`
	Now    string `json:"now,omitempty"`
	Wanted string `json:"wanted,omitempty"`
}

// presentEntry is the value of a Change for a whole entry.
const presentEntry = "present"

// Compare returns what replacing now by wanted would change: first the fields, sorted by entry
// and field, then the tenants whose keys differ. It shows no API key: of keys it says how many
// there are.
func Compare(now, wanted *api.IngressSpec) ([]Change, error) {
	before, err := entriesOf(now)
	if err != nil {
		return nil, err
	}
	after, err := entriesOf(wanted)
	if err != nil {
		return nil, err
	}
	changes := []Change{}
	for _, entry := range sortedUnion(before, after) {
		was, had := before[entry]
		is, has := after[entry]
		switch {
		case !has:
			changes = append(changes, Change{Entry: entry, Now: presentEntry})
		case !had:
			changes = append(changes, Change{Entry: entry, Wanted: presentEntry})
		default:
			changes = append(changes, changedFields(entry, was, is)...)
		}
	}
	return append(changes, changedKeys(now, wanted)...), nil
}

// Superseded returns a finding if a replacement of now by wanted would be acknowledged without
// effect although the two differ.
func Superseded(now, wanted *api.IngressSpec, changes []Change) []api.FieldFault {
	if len(changes) == 0 || wanted.Generation > now.Generation {
		return nil
	}
	return []api.FieldFault{{Field: "generation", Message: fmt.Sprintf("%d is not above the generation in force (%d): nothing would change", wanted.Generation, now.Generation)}}
}

func changedFields(entry string, was, is map[string]string) []Change {
	var changes []Change
	for _, field := range sortedUnion(was, is) {
		if was[field] != is[field] {
			changes = append(changes, Change{Entry: entry, Field: field, Now: was[field], Wanted: is[field]})
		}
	}
	return changes
}

func changedKeys(now, wanted *api.IngressSpec) []Change {
	before := map[string][]string{}
	for _, tenant := range now.Tenants {
		before[tenant.Name] = sortedKeys(tenant.Keys)
	}
	var changes []Change
	for _, tenant := range wanted.Tenants {
		was, had := before[tenant.Name]
		if is := sortedKeys(tenant.Keys); had && !slices.Equal(was, is) {
			changes = append(changes, Change{Entry: entryName("tenants", tenant.Name), Field: "keys",
				Now: fmt.Sprintf("%d keys", len(was)), Wanted: fmt.Sprintf("%d keys, not the same", len(is))})
		}
	}
	return changes
}

func sortedKeys(keys []string) []string {
	keys = slices.Clone(keys)
	slices.Sort(keys)
	return keys
}

func entryName(list, name string) string { return fmt.Sprintf("%s[%s]", list, name) }

// entriesOf returns the fields of each entry, without the keys of tenants.
func entriesOf(spec *api.IngressSpec) (map[string]map[string]string, error) {
	values := map[string]any{
		"ingress": map[string]any{"generation": spec.Generation, "keysRequired": spec.KeysRequired},
		"limits":  spec.Limits,
	}
	for _, route := range spec.Routes {
		entry := entryName("routes", route.Name)
		// Names of routes need not be unique; the host and prefix together are.
		if _, taken := values[entry]; taken {
			entry = entryName("routes", route.Name+" "+route.Host+route.PathPrefix)
		}
		values[entry] = route
	}
	for _, service := range spec.Services {
		values[entryName("services", service.Name)] = service
	}
	for _, tenant := range spec.Tenants {
		tenant.Keys = nil
		values[entryName("tenants", tenant.Name)] = tenant
	}
	entries := map[string]map[string]string{}
	for entry, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, errors.Wrap(err, "compare "+entry)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(text, &fields); err != nil {
			return nil, errors.Wrap(err, "compare "+entry)
		}
		entries[entry] = map[string]string{}
		for field, value := range fields {
			entries[entry][field] = string(value)
		}
	}
	return entries, nil
}

func sortedUnion[V any](a, b map[string]V) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, both := a[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

package binenc

import "github.com/landingtrail/landingtrail/version/api"

// AppendRouteTenant appends a RouteTenant.
func AppendRouteTenant(b []byte, o *api.RouteTenant) []byte {
	b = appendMetadata(b, o.Metadata)
	b = appendPriority(b, o.Spec.Priority)
	b = AppendUint(b, uint64(len(o.Spec.Digests)))
	for _, digest := range o.Spec.Digests {
		b = append(b, digest[:]...)
	}
	b = AppendInt(b, int64(o.Spec.Keys))
	return appendQuota(b, o.Spec.Quota)
}

// RouteTenant reads a RouteTenant.
func (r *Reader) RouteTenant() *api.RouteTenant {
	o := &api.RouteTenant{Metadata: r.metadata()}
	o.Spec.Priority = r.priority()
	for range r.Count(api.KeyDigestBytes) {
		var digest api.KeyDigest
		copy(digest[:], r.take(api.KeyDigestBytes))
		o.Spec.Digests = append(o.Spec.Digests, digest)
	}
	o.Spec.Keys = int(r.Int())
	o.Spec.Quota = r.quota()
	return o
}

func appendTenantKeys(b []byte, o *api.TenantKeys) []byte {
	b = AppendString(b, o.Name)
	b = appendPriority(b, o.Priority)
	b = AppendStrings(b, o.Keys)
	return appendQuota(b, o.Quota)
}

func (r *Reader) tenantKeys() api.TenantKeys {
	return api.TenantKeys{Name: r.String(), Priority: r.priority(), Keys: r.Strings(), Quota: r.quota()}
}

func appendQuota(b []byte, quota api.Quota) []byte {
	b = AppendString(b, string(quota.Unit))
	b = AppendFloat(b, quota.PerSecond)
	b = AppendFloat(b, quota.Burst)
	return AppendFloat(b, quota.PlainTokens)
}

func (r *Reader) quota() api.Quota {
	return api.Quota{Unit: api.QuotaUnit(r.String()), PerSecond: r.Float(), Burst: r.Float(), PlainTokens: r.Float()}
}

func appendPriority(b []byte, priority *int) []byte {
	b = AppendBool(b, priority != nil)
	if priority == nil {
		return b
	}
	return AppendInt(b, int64(*priority))
}

func (r *Reader) priority() *int {
	if !r.Bool() {
		return nil
	}
	priority := int(r.Int())
	return &priority
}

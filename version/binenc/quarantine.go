package binenc

import "github.com/landingtrail/landingtrail/version/api"

func appendQuarantine(b []byte, o *api.Quarantine) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, string(o.Spec.State))
	b = AppendString(b, o.Spec.Service)
	b = AppendString(b, o.Spec.Route)
	b = AppendString(b, o.Spec.Request)
	b = AppendStrings(b, o.Spec.Replicas)
	b = AppendStrings(b, o.Spec.Weak)
	b = AppendBool(b, o.Spec.Alone)
	b = AppendInt(b, o.Spec.Since)
	b = AppendInt(b, o.Spec.Until)
	b = AppendInt(b, int64(o.Spec.Times))
	return AppendInt(b, o.Spec.TriedSince)
}

func (r *Reader) quarantine() *api.Quarantine {
	return &api.Quarantine{Metadata: r.metadata(), Spec: api.QuarantineSpec{
		State:    api.QuarantineState(r.String()),
		Service:  r.String(),
		Route:    r.String(),
		Request:  r.String(),
		Replicas: r.Strings(),
		Weak:     r.Strings(),
		Alone:    r.Bool(),
		Since:    r.Int(),
		Until:    r.Int(),
		Times:    int(r.Int()),

		TriedSince: r.Int(),
	}}
}

package binenc

import "github.com/landingtrail/landingtrail/version/api"

func appendSuspect(b []byte, o *api.Suspect) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.Service)
	b = AppendString(b, o.Spec.Route)
	b = AppendString(b, o.Spec.Request)
	b = AppendString(b, o.Spec.Replica)
	b = AppendInt(b, o.Spec.EndedAt)
	return AppendInt(b, o.Spec.Until)
}

func (r *Reader) suspect() *api.Suspect {
	return &api.Suspect{Metadata: r.metadata(), Spec: api.SuspectSpec{
		Service: r.String(),
		Route:   r.String(),
		Request: r.String(),
		Replica: r.String(),
		EndedAt: r.Int(),
		Until:   r.Int(),
	}}
}

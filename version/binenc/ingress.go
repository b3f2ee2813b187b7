package binenc

import (
	"strings"

	"github.com/landingtrail/landingtrail/version/api"
)

// Minimum encoded sizes of list elements, in bytes.
const (
	minimumRouteBytes   = 12
	minimumServiceBytes = 4
	minimumBackendBytes = 2
	minimumTenantBytes  = 3
)

// AppendIngressSpec appends the spec of an Ingress. The encoding contains the plaintext keys
// of spec.Tenants, if there are any.
func AppendIngressSpec(b []byte, spec *api.IngressSpec) []byte {
	b = AppendUint(b, spec.Generation)
	b = AppendUint(b, uint64(len(spec.Routes)))
	for i := range spec.Routes {
		b = appendRoute(b, &spec.Routes[i])
	}
	b = AppendUint(b, uint64(len(spec.Services)))
	for i := range spec.Services {
		b = appendRouteService(b, &spec.Services[i])
	}
	b = AppendInt(b, spec.Limits.MaxHeaderBytes)
	b = AppendInt(b, spec.Limits.MaxBodyBytes)
	b = AppendInt(b, spec.Limits.HeaderMilliseconds)
	b = AppendInt(b, spec.Limits.IdleMilliseconds)
	b = AppendBool(b, spec.KeysRequired)
	b = AppendBytes(b, spec.KeySecret)
	b = AppendUint(b, uint64(len(spec.Tenants)))
	for i := range spec.Tenants {
		b = appendTenantKeys(b, &spec.Tenants[i])
	}
	return AppendBytes(b, spec.Source)
}

// IngressSpec reads the spec of an Ingress.
func (r *Reader) IngressSpec() api.IngressSpec {
	spec := api.IngressSpec{Generation: r.Uint()}
	routes := r.Count(minimumRouteBytes)
	for i := 0; i < routes && r.err == nil; i++ {
		spec.Routes = append(spec.Routes, r.route())
	}
	services := r.Count(minimumServiceBytes)
	for i := 0; i < services && r.err == nil; i++ {
		spec.Services = append(spec.Services, r.routeService())
	}
	spec.Limits = api.IngressLimits{
		MaxHeaderBytes:     r.Int(),
		MaxBodyBytes:       r.Int(),
		HeaderMilliseconds: r.Int(),
		IdleMilliseconds:   r.Int(),
	}
	spec.KeysRequired = r.Bool()
	spec.KeySecret = r.Bytes()
	tenants := r.Count(minimumTenantBytes)
	for i := 0; i < tenants && r.err == nil; i++ {
		spec.Tenants = append(spec.Tenants, r.tenantKeys())
	}
	spec.Source = r.Bytes()
	return spec
}

func appendRoute(b []byte, route *api.Route) []byte {
	b = AppendString(b, route.Name)
	b = AppendString(b, route.Host)
	b = AppendString(b, route.PathPrefix)
	b = AppendString(b, string(route.Kind))
	b = AppendInt(b, int64(route.Priority))
	b = AppendInt(b, route.TimeoutMilliseconds)
	b = AppendInt(b, route.ObjectiveMilliseconds)
	b = AppendInt(b, route.GapMilliseconds)
	b = AppendInt(b, int64(route.Attempts))
	b = AppendBool(b, route.Affinity)
	b = AppendBool(b, route.Resumable)
	b = AppendBool(b, route.Public)
	b = AppendUint(b, uint64(len(route.Backends)))
	for _, backend := range route.Backends {
		b = AppendString(b, backend.Service)
		b = AppendInt(b, int64(backend.Weight))
	}
	return b
}

func (r *Reader) route() api.Route {
	route := api.Route{
		Name:                  r.String(),
		Host:                  r.String(),
		PathPrefix:            r.String(),
		Kind:                  api.RouteKind(r.String()),
		Priority:              int(r.Int()),
		TimeoutMilliseconds:   r.Int(),
		ObjectiveMilliseconds: r.Int(),
		GapMilliseconds:       r.Int(),
		Attempts:              int(r.Int()),
		Affinity:              r.Bool(),
		Resumable:             r.Bool(),
		Public:                r.Bool(),
	}
	backends := r.Count(minimumBackendBytes)
	for i := 0; i < backends && r.err == nil; i++ {
		route.Backends = append(route.Backends, api.RouteBackend{Service: r.String(), Weight: int(r.Int())})
	}
	return route
}

func appendRouteService(b []byte, service *api.RouteService) []byte {
	b = AppendString(b, service.Name)
	b = AppendString(b, service.HealthPath)
	b = AppendInt(b, int64(service.MaxConnections))
	b = appendScalingSheet(b, service.Scaling)
	b = AppendBool(b, service.Model != nil)
	if service.Model == nil {
		return b
	}
	sheet := service.Model
	b = AppendInt(b, int64(sheet.Slots))
	b = AppendInt(b, sheet.KVTokens)
	b = AppendInt(b, sheet.KVBytesPerTok)
	b = AppendFloat(b, sheet.LinkMbps)
	b = AppendInt(b, sheet.HandoverMillis)
	b = AppendInt(b, sheet.SwitchMillis)
	return AppendBool(b, sheet.Backups)
}

func (r *Reader) routeService() api.RouteService {
	service := api.RouteService{Name: r.String(), HealthPath: r.String(), MaxConnections: int(r.Int())}
	service.Scaling = r.scalingSheet()
	if r.Bool() {
		service.Model = &api.ModelSheet{
			Slots:          int(r.Int()),
			KVTokens:       r.Int(),
			KVBytesPerTok:  r.Int(),
			LinkMbps:       r.Float(),
			HandoverMillis: r.Int(),
			SwitchMillis:   r.Int(),
			Backups:        r.Bool(),
		}
	}
	return service
}

func appendIngress(b []byte, o *api.Ingress) []byte {
	return AppendIngressSpec(appendMetadata(b, o.Metadata), &o.Spec)
}

func (r *Reader) ingress() *api.Ingress {
	return &api.Ingress{Metadata: r.metadata(), Spec: r.IngressSpec()}
}

func appendReplica(b []byte, o *api.Replica) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.Service)
	b = AppendString(b, o.Spec.Address)
	b = AppendString(b, o.Spec.Zone)
	b = AppendInt(b, int64(o.Spec.Slots))
	b = AppendBool(b, o.Spec.Leaving)
	b = AppendString(b, string(o.Spec.Role))
	b = AppendStrings(b, appendSoftwareVersion(o.Spec.Models, o.Spec.SoftwareVersion))
	b = AppendBool(b, o.Spec.Withdrawable)
	return AppendInt(b, o.Spec.Born)
}

func (r *Reader) replica() *api.Replica {
	o := &api.Replica{Metadata: r.metadata()}
	o.Spec.Service = r.String()
	o.Spec.Address = r.String()
	o.Spec.Zone = r.String()
	o.Spec.Slots = int(r.Int())
	o.Spec.Leaving = r.Bool()
	o.Spec.Role = api.EngineRole(r.String())
	o.Spec.Models, o.Spec.SoftwareVersion = splitSoftwareVersion(r.Strings())
	o.Spec.Withdrawable = r.Bool()
	o.Spec.Born = r.Int()
	return o
}

// softwarePrefix marks the entry in the encoded list of models that holds the version of a replica's
// software. No model's name contains it. Processes that do not know this form keep the entry and pass it on,
// so that they can run together with those that do.
const softwarePrefix = "\x00software\x00"

// appendSoftwareVersion returns the models, followed by the entry for the version unless it is empty.
func appendSoftwareVersion(models []string, version string) []string {
	if version == "" {
		return models
	}
	return append(models[:len(models):len(models)], softwarePrefix+version)
}

// splitSoftwareVersion is the reverse of appendSoftwareVersion.
func splitSoftwareVersion(entries []string) (models []string, version string) {
	if len(entries) == 0 {
		return entries, ""
	}
	last := len(entries) - 1
	version, found := strings.CutPrefix(entries[last], softwarePrefix)
	if !found {
		return entries, ""
	}
	if last == 0 {
		return nil, version
	}
	return entries[:last], version
}

func appendProxy(b []byte, o *api.Proxy) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.Address)
	return AppendString(b, o.Spec.Zone)
}

func (r *Reader) proxy() *api.Proxy {
	o := &api.Proxy{Metadata: r.metadata()}
	o.Spec.Address = r.String()
	o.Spec.Zone = r.String()
	return o
}

func appendMember(b []byte, o *api.Member) []byte {
	b = appendMetadata(b, o.Metadata)
	b = AppendString(b, o.Spec.FeedAddress)
	return AppendString(b, o.Spec.OperatorAddress)
}

func (r *Reader) member() *api.Member {
	o := &api.Member{Metadata: r.metadata()}
	o.Spec.FeedAddress = r.String()
	o.Spec.OperatorAddress = r.String()
	return o
}

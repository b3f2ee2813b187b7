package scale

import (
	"fmt"
	"net"
	"strconv"

	"github.com/landingtrail/landingtrail/version/api"
)

// Shape of the target's fleet.
const (
	zoneCount    = 17
	regionCount  = 8
	modelCount   = 4
	tenantCount  = 3_100
	prefillEvery = 4 // one replica in so many starts as a prefill engine

	serviceName    = "narrator"
	modelVersion   = "v1"
	maxUnavailable = 50 // disruption budget of each intent
)

// Labels that the intents and classes are selected by.
const (
	labelModel  = "model"
	labelRegion = "region"
	labelZone   = "zone"
	labelWork   = "work"
	labelNote   = "note" // the one that the run's changes rewrite
	workText    = "text"
)

// hostsPerBlock is how many replicas share the first three numbers of their
// address. Each replica has a loopback IP of its own, so that no count of
// replicas runs out of ports.
const (
	hostsPerBlock   = 250
	firstLoopbackIP = 64
)

func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i%zoneCount) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i%zoneCount%regionCount) }
func modelName(i int) string  { return fmt.Sprintf("model-%d", i%modelCount) }
func engineName(i int) string { return fmt.Sprintf("engine-%05d", i) }
func daemonName(i int) string { return fmt.Sprintf("hollow-%05d", i) }

// replicaAddress is the loopback address of the i-th replica.
func replicaAddress(i, port int) string {
	block := i / hostsPerBlock
	host := fmt.Sprintf("127.%d.%d.%d", firstLoopbackIP+block/hostsPerBlock, block%hostsPerBlock, 1+i%hostsPerBlock)
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// assignmentOf is what the i-th replica serves from its start. Models and roles
// are spread so that every zone has some of each.
func assignmentOf(i int) api.Assignment {
	role := api.RoleDecode
	if i/modelCount%prefillEvery == 0 {
		role = api.RolePrefill
	}
	return api.Assignment{Model: modelName(i), Version: modelVersion, Role: role}
}

func engineObject(i, port int) api.Object {
	return api.Object{Engine: &api.Engine{
		Metadata: api.Metadata{
			Name: engineName(i),
			Labels: api.Labels{
				labelModel:  modelName(i),
				labelZone:   zoneName(i),
				labelRegion: regionName(i),
			},
		},
		Spec: api.EngineSpec{Address: replicaAddress(i, port), Zone: zoneName(i), Service: serviceName},
	}}
}

// commonObjects lists everything but the engines.
func commonObjects() []api.Object {
	objects := []api.Object{{Service: &api.Service{
		Metadata: api.Metadata{Name: serviceName},
		Spec:     api.ServiceSpec{Type: api.ServiceModel},
	}}}
	for i, name := range []string{"caption", "summary", "briefing"} {
		objects = append(objects, api.Object{Class: &api.Class{
			Metadata: api.Metadata{Name: name, Labels: api.Labels{labelWork: workText}},
			Spec:     api.ClassSpec{Service: serviceName, Priority: i, DeadlineMilliseconds: 10_000},
		}})
	}
	for i := range modelCount {
		objects = append(objects, intentObject(i))
	}
	for i := range tenantCount {
		objects = append(objects, api.Object{Tenant: &api.Tenant{
			Metadata: api.Metadata{Name: fmt.Sprintf("tenant-%04d", i)},
			Spec:     api.TenantSpec{Weight: 1},
		}})
	}
	return objects
}

func intentObject(i int) api.Object {
	return api.Object{Intent: &api.Intent{
		Metadata: api.Metadata{Name: "serve-" + modelName(i)},
		Spec: api.IntentSpec{
			Engines:        api.Selector{MatchLabels: api.Labels{labelModel: modelName(i)}},
			Classes:        api.Selector{MatchLabels: api.Labels{labelWork: workText}},
			Model:          modelName(i),
			Version:        modelVersion,
			Roles:          []api.EngineRole{api.RolePrefill, api.RoleDecode},
			MaxUnavailable: maxUnavailable,
		},
	}}
}

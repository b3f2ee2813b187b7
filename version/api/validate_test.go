package api

import (
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestValidate(t *testing.T) {
	validMetadata := Metadata{Name: "narrator-1", Labels: Labels{"pool": "a", "landingtrail/zone": ""}}
	cases := []struct {
		name   string
		object Object
		want   []string
	}{
		{"no object", Object{}, []string{"object"}},
		{"two objects", Object{Class: &Class{}, Tenant: &Tenant{}}, []string{"object"}},
		{"valid intent", Object{Intent: &Intent{Metadata: validMetadata, Spec: IntentSpec{
			Model: "storm/8b:q4", Version: "2026-12", Adapters: []string{"nl", "fr"}, Roles: []EngineRole{RoleMixed, RoleDecode},
		}}}, nil},
		{"invalid intent", Object{Intent: &Intent{Spec: IntentSpec{
			Engines: Selector{MatchExpressions: []Requirement{{Key: "k", Operator: "Like"}}}, Classes: Selector{All: true, MatchLabels: Labels{"k": "v"}},
			Model: "a model", Adapters: []string{"nl", "", "nl"},
			Roles: []EngineRole{RoleMixed, "narrator", RoleNone, RoleMixed}, MaxUnavailable: -1, ChangeCost: math.Inf(1),
		}}}, []string{
			"intent.metadata.name", "intent.spec.engines.matchExpressions[0].operator", "intent.spec.classes.all",
			"intent.spec.model", "intent.spec.version", "intent.spec.adapters[1]", "intent.spec.adapters[2]",
			"intent.spec.roles[1]", "intent.spec.roles[2]", "intent.spec.roles[3]", "intent.spec.maxUnavailable", "intent.spec.changeCost",
		}},
		{"no roles", Object{Intent: &Intent{Metadata: validMetadata, Spec: IntentSpec{Model: "m", Version: "v"}}}, []string{"intent.spec.roles"}},
		{"valid engine", Object{Engine: &Engine{Metadata: validMetadata, Spec: EngineSpec{Address: "[::1]:80", Zone: "a", Service: "narrator"}}}, nil},
		{"invalid engine", Object{Engine: &Engine{
			Metadata: Metadata{Name: "A_b", Labels: Labels{"pool": "a b", "-k": "v"}}, Spec: EngineSpec{Address: "narrator:80", Zone: "-"},
		}}, []string{
			"engine.metadata.name", `engine.metadata.labels["-k"]`, `engine.metadata.labels["pool"]`,
			"engine.spec.address", "engine.spec.zone", "engine.spec.service",
		}},
		{"valid service", Object{Service: &Service{Metadata: validMetadata, Spec: ServiceSpec{
			Type: ServiceBackend, Backends: []Backend{{Name: "t1", Address: "10.0.0.1:80"}},
		}}}, nil},
		{"invalid service", Object{Service: &Service{Metadata: validMetadata, Spec: ServiceSpec{
			Type: "other", MaxInFlight: -1,
			Backends: []Backend{{Name: "t1", Address: "10.0.0.1:0"}, {Name: "t1", Address: "0.0.0.0:80", Zone: "B"}},
		}}}, []string{
			"service.spec.type", "service.spec.backends[0].address", "service.spec.backends[1].name",
			"service.spec.backends[1].address", "service.spec.backends[1].zone", "service.spec.maxInFlight",
		}},
		{"model service with back ends", Object{Service: &Service{Metadata: validMetadata, Spec: ServiceSpec{
			Type: ServiceModel, Backends: []Backend{{Name: "t1", Address: "10.0.0.1:80"}},
		}}}, []string{"service.spec.backends"}},
		{"valid class", Object{Class: &Class{Metadata: validMetadata, Spec: ClassSpec{Service: "narrator", Priority: -3, DeadlineMilliseconds: 1}}}, nil},
		{"invalid class", Object{Class: &Class{Metadata: validMetadata, Spec: ClassSpec{QueueLimit: -1, MaxInFlight: -1}}}, []string{
			"class.spec.service", "class.spec.deadlineMilliseconds", "class.spec.queueLimit", "class.spec.maxInFlight",
		}},
		{"deadline too long", Object{Class: &Class{Metadata: validMetadata, Spec: ClassSpec{Service: "s", DeadlineMilliseconds: MaxDeadlineMilliseconds + 1}}},
			[]string{"class.spec.deadlineMilliseconds"}},
		{"valid tenant", Object{Tenant: &Tenant{Metadata: validMetadata, Spec: TenantSpec{Weight: 0.5, TokensPerSecond: 10, Burst: 20}}}, nil},
		{"invalid tenant", Object{Tenant: &Tenant{Metadata: Metadata{Name: strings.Repeat("a", MaxNameBytes+1)}, Spec: TenantSpec{
			Weight: math.NaN(), TokensPerSecond: -1, Burst: -1,
		}}}, []string{"tenant.metadata.name", "tenant.spec.weight", "tenant.spec.tokensPerSecond", "tenant.spec.burst"}},
		{"burst without a rate", Object{Tenant: &Tenant{Metadata: validMetadata, Spec: TenantSpec{Burst: 1}}}, []string{"tenant.spec.burst"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var fields []string
			for _, fault := range Validate(test.object) {
				must.NotEq(t, "", fault.Message)
				fields = append(fields, fault.Field)
			}
			must.Eq(t, test.want, fields)
		})
	}
}

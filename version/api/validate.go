package api

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// Limits of object fields.
const (
	MaxNameBytes            = 128
	MaxReferenceBytes       = 256              // models, versions and adapters
	MaxDeadlineMilliseconds = 24 * 3600 * 1000 // one day
)

// Roles lists the roles that an intent may request.
var Roles = []EngineRole{RolePrefill, RoleDecode, RoleMixed}

// Operators lists the operators of a Requirement.
var Operators = []Operator{OperatorIn, OperatorNotIn, OperatorExists, OperatorDoesNotExist}

// Validate returns all validation errors of an object's metadata and spec, in the
// order of the fields (labels in the order of their keys); the object is valid if
// there are none. The status is ignored. Kinds that transactions cannot write are
// rejected or, for Quarantine, RouteTenant, Capacity and Suspect, not validated;
// see IsWritable. Field paths start with the kind, as in "intent.spec.roles[1]".
func Validate(o Object) []FieldFault {
	if _, ok := o.Key(); !ok {
		return []FieldFault{{Field: "object", Message: "exactly one of intent, engine, service, class and tenant must be set"}}
	}
	var c fieldValidator
	switch {
	case o.Ingress != nil:
		c.addFault("ingress", "is replaced as a whole, not written by a transaction")
	case o.Replica != nil, o.Proxy != nil, o.Member != nil:
		c.addFault("object", "is observed by the group, not written by a transaction")
	case o.Intent != nil:
		c.validateIntent(o.Intent)
	case o.Engine != nil:
		c.validateEngine(o.Engine)
	case o.Service != nil:
		c.validateService(o.Service)
	case o.Class != nil:
		c.validateClass(o.Class)
	case o.Tenant != nil:
		c.validateTenant(o.Tenant)
	}
	return c.faults
}

// ValidateSelector returns all validation errors of the selector at path.
// An empty selector is valid: it matches nothing.
func ValidateSelector(path string, s Selector) []FieldFault {
	var c fieldValidator
	c.validateSelector(path, s)
	return c.faults
}

// ValidateKey returns the validation errors of the name in a key, which is all that
// a deletion needs. It does not validate the kind.
func ValidateKey(key Key) []FieldFault {
	var c fieldValidator
	c.validateName(strings.ToLower(string(key.Kind))+".metadata.name", key.Name)
	return c.faults
}

// fieldValidator collects validation errors.
type fieldValidator struct{ faults []FieldFault }

func (c *fieldValidator) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, FieldFault{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *fieldValidator) validateMetadata(path string, m Metadata) {
	c.validateName(path+".metadata.name", m.Name)
	c.validateLabels(path+".metadata.labels", m.Labels)
}

func (c *fieldValidator) validateName(field, name string) {
	switch {
	case name == "":
		c.addFault(field, "must not be empty")
	case len(name) > MaxNameBytes:
		c.addFault(field, "must not be longer than %d bytes", MaxNameBytes)
	case !isName(name):
		c.addFault(field, "%q must consist of lower-case letters, digits, '-' and '.', and start and end with a letter or digit", name)
	}
}

func (c *fieldValidator) validateOptionalName(field, name string) {
	if name != "" {
		c.validateName(field, name)
	}
}

func (c *fieldValidator) validateLabels(field string, labels Labels) {
	for _, key := range sortedKeys(labels) {
		entry := fmt.Sprintf("%s[%q]", field, key)
		c.validateLabelKey(entry, key)
		c.validateLabelValue(entry, labels[key])
	}
}

func (c *fieldValidator) validateLabelKey(field, key string) {
	if key == "" || len(key) > MaxNameBytes || !isLabelText(key) {
		c.addFault(field, "%q is not a label key: 1 to %d letters, digits, '-', '_', '.' and '/', starting and ending with a letter or digit", key, MaxNameBytes)
	}
}

func (c *fieldValidator) validateLabelValue(field, value string) {
	if value != "" && (len(value) > MaxNameBytes || !isLabelText(value)) {
		c.addFault(field, "%q is not a label value: at most %d letters, digits, '-', '_', '.' and '/', starting and ending with a letter or digit", value, MaxNameBytes)
	}
}

func (c *fieldValidator) validateSelector(field string, s Selector) {
	if s.All && (len(s.MatchLabels) > 0 || len(s.MatchExpressions) > 0) {
		c.addFault(field+".all", "must not be set together with matchLabels or matchExpressions")
	}
	c.validateLabels(field+".matchLabels", s.MatchLabels)
	for i, requirement := range s.MatchExpressions {
		c.validateRequirement(fmt.Sprintf("%s.matchExpressions[%d]", field, i), requirement)
	}
}

func (c *fieldValidator) validateRequirement(field string, r Requirement) {
	c.validateLabelKey(field+".key", r.Key)
	switch r.Operator {
	case OperatorIn, OperatorNotIn:
		if len(r.Values) == 0 {
			c.addFault(field+".values", "must not be empty with operator %s", r.Operator)
		}
	case OperatorExists, OperatorDoesNotExist:
		if len(r.Values) > 0 {
			c.addFault(field+".values", "must be empty with operator %s", r.Operator)
		}
	default:
		c.addFault(field+".operator", "%q is not one of %v", r.Operator, Operators)
	}
	for i, value := range r.Values {
		c.validateLabelValue(fmt.Sprintf("%s.values[%d]", field, i), value)
	}
}

func (c *fieldValidator) validateIntent(o *Intent) {
	c.validateMetadata("intent", o.Metadata)
	c.validateSelector("intent.spec.engines", o.Spec.Engines)
	c.validateSelector("intent.spec.classes", o.Spec.Classes)
	c.validateReference("intent.spec.model", o.Spec.Model)
	c.validateReference("intent.spec.version", o.Spec.Version)
	for i, adapter := range o.Spec.Adapters {
		field := fmt.Sprintf("intent.spec.adapters[%d]", i)
		c.validateReference(field, adapter)
		if slices.Contains(o.Spec.Adapters[:i], adapter) {
			c.addFault(field, "%q is listed twice", adapter)
		}
	}
	c.validateRoles("intent.spec.roles", o.Spec.Roles)
	c.validateNonNegative("intent.spec.maxUnavailable", float64(o.Spec.MaxUnavailable))
	c.validateNonNegative("intent.spec.changeCost", o.Spec.ChangeCost)
}

func (c *fieldValidator) validateRoles(field string, roles []EngineRole) {
	if len(roles) == 0 {
		c.addFault(field, "must list at least one role")
	}
	for i, role := range roles {
		entry := fmt.Sprintf("%s[%d]", field, i)
		if !slices.Contains(Roles, role) {
			c.addFault(entry, "%q is not one of %v", role, Roles)
			continue
		}
		if slices.Contains(roles[:i], role) {
			c.addFault(entry, "%q is listed twice", role)
		}
	}
}

func (c *fieldValidator) validateReference(field, text string) {
	switch {
	case text == "":
		c.addFault(field, "must not be empty")
	case len(text) > MaxReferenceBytes:
		c.addFault(field, "must not be longer than %d bytes", MaxReferenceBytes)
	case strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }):
		c.addFault(field, "%q must consist of printable ASCII without spaces", text)
	}
}

func (c *fieldValidator) validateEngine(o *Engine) {
	c.validateMetadata("engine", o.Metadata)
	c.validateAddress("engine.spec.address", o.Spec.Address)
	c.validateOptionalName("engine.spec.zone", o.Spec.Zone)
	c.validateName("engine.spec.service", o.Spec.Service)
}

func (c *fieldValidator) validateService(o *Service) {
	c.validateMetadata("service", o.Metadata)
	if o.Spec.Type != ServiceModel && o.Spec.Type != ServiceBackend {
		c.addFault("service.spec.type", "%q is not one of %v", o.Spec.Type, []ServiceType{ServiceModel, ServiceBackend})
	}
	if o.Spec.Type == ServiceModel && len(o.Spec.Backends) > 0 {
		c.addFault("service.spec.backends", "must be empty for a model service: its back ends are engines")
	}
	names := make(map[string]bool, len(o.Spec.Backends))
	for i, backend := range o.Spec.Backends {
		c.validateBackend(fmt.Sprintf("service.spec.backends[%d]", i), backend, names[backend.Name])
		names[backend.Name] = true
	}
	c.validateNonNegative("service.spec.maxInFlight", float64(o.Spec.MaxInFlight))
}

func (c *fieldValidator) validateBackend(field string, b Backend, repeated bool) {
	c.validateName(field+".name", b.Name)
	if repeated && b.Name != "" {
		c.addFault(field+".name", "%q is listed twice", b.Name)
	}
	c.validateAddress(field+".address", b.Address)
	c.validateOptionalName(field+".zone", b.Zone)
}

func (c *fieldValidator) validateClass(o *Class) {
	c.validateMetadata("class", o.Metadata)
	c.validateName("class.spec.service", o.Spec.Service)
	deadline := o.Spec.DeadlineMilliseconds
	if deadline < 1 || deadline > MaxDeadlineMilliseconds {
		c.addFault("class.spec.deadlineMilliseconds", "%d is not between 1 and %d", deadline, MaxDeadlineMilliseconds)
	}
	c.validateNonNegative("class.spec.queueLimit", float64(o.Spec.QueueLimit))
	c.validateNonNegative("class.spec.maxInFlight", float64(o.Spec.MaxInFlight))
}

func (c *fieldValidator) validateTenant(o *Tenant) {
	c.validateMetadata("tenant", o.Metadata)
	c.validateNonNegative("tenant.spec.weight", o.Spec.Weight)
	c.validateNonNegative("tenant.spec.tokensPerSecond", o.Spec.TokensPerSecond)
	c.validateNonNegative("tenant.spec.burst", o.Spec.Burst)
	if o.Spec.TokensPerSecond == 0 && o.Spec.Burst > 0 {
		c.addFault("tenant.spec.burst", "must be 0 when tokensPerSecond is 0")
	}
}

func (c *fieldValidator) validateNonNegative(field string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		c.addFault(field, "%v is not a number of 0 or more", v)
	}
}

// validateAddress requires an IP address and a port. Host names are rejected because they
// would make every daemon depend on DNS.
func (c *fieldValidator) validateAddress(field, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.addFault(field, "%q is not an IP number and a port", address)
	case parsed.Port() == 0:
		c.addFault(field, "%q has port 0", address)
	case parsed.Addr().IsUnspecified(), parsed.Addr().IsMulticast():
		c.addFault(field, "%q is not the address of one host", address)
	}
}

// isName reports whether s is empty or a valid name.
func isName(s string) bool {
	for i := 0; i < len(s); i++ {
		if isLower(s[i]) || isDigit(s[i]) {
			continue
		}
		inner := i > 0 && i < len(s)-1
		if !inner || (s[i] != '-' && s[i] != '.') {
			return false
		}
	}
	return true
}

// isLabelText reports whether s is empty or valid as a label key or value.
func isLabelText(s string) bool {
	for i := 0; i < len(s); i++ {
		if isLower(s[i]) || isUpper(s[i]) || isDigit(s[i]) {
			continue
		}
		inner := i > 0 && i < len(s)-1
		if !inner || !strings.ContainsRune("-_./", rune(s[i])) {
			return false
		}
	}
	return true
}

func isLower(b byte) bool { return b >= 'a' && b <= 'z' }

func isUpper(b byte) bool { return b >= 'A' && b <= 'Z' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func sortedKeys(labels Labels) []string {
	keys := make([]string, 0, len(labels))
	for key := range labels {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

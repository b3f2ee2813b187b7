package settings

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Tags of a settings field beside "yaml":
//
//	default   value when the file, flags and environment give none
//	required  "true" when there must be a value
//	min, max  bounds, both allowed values themselves
//	allowed   the allowed values, separated by "|"
//	format    a named format, see formats
//	unit      what a bare number counts
//	usage     one sentence for --help and docs/SETTINGS.md
const (
	tagYAML     = "yaml"
	tagDefault  = "default"
	tagRequired = "required"
	tagMinimum  = "min"
	tagMaximum  = "max"
	tagAllowed  = "allowed"
	tagFormat   = "format"
	tagUnit     = "unit"
	tagUsage    = "usage"
)

var durationType = reflect.TypeFor[time.Duration]()

// Names of formats.
const (
	formatAddress = "address" // IP number and port
	formatName    = "name"    // name of an object or daemon
)

// MaxNameLength bounds the names of daemons, objects and labels, in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9.]*[a-z0-9])?$`)

// ValidName reports whether name can name a daemon or an object: at most
// MaxNameLength lower-case letters, digits, "-" and ".", with a letter or digit
// at each end.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// ValidAddress reports whether address is an IP number and a port from 1 to
// 65535. Host names are no addresses: nothing here asks a name service.
func ValidAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}

const (
	allowedName    = "must be 1 to 63 lower-case letters, digits, '-' and '.', with a letter or digit at each end"
	allowedAddress = "must be an IP number and a port from 1 to 65535, such as 10.0.0.1:7101"
)

type format struct {
	valid   func(string) bool
	message string
}

var formats = map[string]format{
	formatAddress: {ValidAddress, allowedAddress},
	formatName:    {ValidName, allowedName},
}

// constraint is what a field's tags allow.
type constraint struct {
	fallback string
	required bool
	minimum  string
	maximum  string
	allowed  []string
	format   string
}

func constraintOf(field reflect.StructField) constraint {
	limits := constraint{
		fallback: field.Tag.Get(tagDefault),
		required: field.Tag.Get(tagRequired) == "true",
		minimum:  field.Tag.Get(tagMinimum),
		maximum:  field.Tag.Get(tagMaximum),
		format:   field.Tag.Get(tagFormat),
	}
	if allowed := field.Tag.Get(tagAllowed); allowed != "" {
		limits.allowed = strings.Split(allowed, "|")
	}
	return limits
}

// check returns what is allowed when the value is not, and "" when it is.
func (c constraint) check(value reflect.Value) string {
	switch value.Kind() {
	case reflect.String:
		return c.checkText(value.String())
	case reflect.Bool:
		return ""
	}
	number := asFloat(value)
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return "must be a finite number"
	}
	belowMinimum := c.minimum != "" && number < c.bound(c.minimum, value.Type())
	aboveMaximum := c.maximum != "" && number > c.bound(c.maximum, value.Type())
	if belowMinimum || aboveMaximum {
		return "must be " + c.bounds()
	}
	return ""
}

func (c constraint) checkText(text string) string {
	if len(c.allowed) > 0 && !contains(c.allowed, text) {
		return "must be one of " + strings.Join(c.allowed, ", ")
	}
	named, known := formats[c.format]
	if known && text != "" && !named.valid(text) {
		return named.message
	}
	if c.required && text == "" {
		return "must not be empty"
	}
	return ""
}

// bounds words the allowed range.
func (c constraint) bounds() string {
	switch {
	case c.minimum != "" && c.maximum != "":
		return fmt.Sprintf("from %s to %s", c.minimum, c.maximum)
	case c.minimum != "":
		return "at least " + c.minimum
	case c.maximum != "":
		return "at most " + c.maximum
	}
	return ""
}

// bound parses a bound by the field's type. The tags are constants of this
// package, so a bound that does not parse is a broken invariant.
func (c constraint) bound(text string, fieldType reflect.Type) float64 {
	target := reflect.New(fieldType).Elem()
	if !setText(text, target) {
		panic("settings: bound " + strconv.Quote(text) + " does not fit its field")
	}
	return asFloat(target)
}

func asFloat(value reflect.Value) float64 {
	switch value.Kind() {
	case reflect.Float64:
		return value.Float()
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return float64(value.Uint())
	default:
		return float64(value.Int())
	}
}

// describe words everything that is allowed of a field.
func (c constraint) describe(fieldType reflect.Type) string {
	switch {
	case len(c.allowed) > 0:
		return "one of " + strings.Join(c.allowed, ", ")
	case c.format != "":
		return strings.TrimPrefix(formats[c.format].message, "must be ")
	case c.minimum != "" || c.maximum != "":
		return typeName(fieldType) + ", " + c.bounds()
	}
	return typeName(fieldType)
}

func contains(list []string, text string) bool {
	for _, candidate := range list {
		if candidate == text {
			return true
		}
	}
	return false
}

// nameOf returns a field's name in YAML, or "" for one that files do not hold.
func nameOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get(tagYAML), ",")
	if name == "-" {
		return ""
	}
	return name
}

// fieldsOf returns the fields that files can hold, in the order of the struct.
func fieldsOf(structType reflect.Type) []reflect.StructField {
	var fields []reflect.StructField
	for i := range structType.NumField() {
		field := structType.Field(i)
		if nameOf(field) != "" {
			fields = append(fields, field)
		}
	}
	return fields
}

func findField(structType reflect.Type, name string) (reflect.StructField, bool) {
	for _, field := range fieldsOf(structType) {
		if nameOf(field) == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(structType reflect.Type) string {
	var names []string
	for _, field := range fieldsOf(structType) {
		names = append(names, nameOf(field))
	}
	return strings.Join(names, ", ")
}

// typeName words a type for messages and docs.
func typeName(fieldType reflect.Type) string {
	if fieldType == durationType {
		return "a duration such as 250ms or 1m30s"
	}
	switch fieldType.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map:
		return "a mapping from strings to strings"
	}
	return "a mapping"
}

package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/landingtrail/landingtrail/version/api"
)

// maxDepth bounds the nesting of a file, so that a hostile one cannot exhaust
// the stack.
const maxDepth = 32

// decoder walks a YAML document and a Go value side by side. It goes on after a
// fault, so that one run names every fault of the file.
type decoder struct {
	faults []api.FieldFault
	// seen holds the path of each field that the file mentions, faulty or not:
	// neither a default nor a "required" fault is due there.
	seen map[string]bool
}

func newDecoder() *decoder {
	return &decoder{seen: map[string]bool{}}
}

func (d *decoder) fault(path string, format string, args ...any) {
	d.faults = append(d.faults, api.FieldFault{Field: path, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) faultAt(node *yaml.Node, path string, format string, args ...any) {
	d.fault(path, "%s (line %d)", fmt.Sprintf(format, args...), node.Line)
}

// parse reads the one document of data. It returns nil when the text is no
// YAML, empty, or more than one document, with the fault recorded.
func (d *decoder) parse(data []byte) *yaml.Node {
	reader := yaml.NewDecoder(strings.NewReader(string(data)))
	var document yaml.Node
	if err := reader.Decode(&document); err != nil {
		d.fault("", "the file must be one YAML document: %v", err)
		return nil
	}
	var next yaml.Node
	if err := reader.Decode(&next); err == nil {
		d.faultAt(&next, "", "the file must be one YAML document, found a second one")
		return nil
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) != 1 {
		d.fault("", "the file must be one YAML document")
		return nil
	}
	return document.Content[0]
}

// value fills target from node.
func (d *decoder) value(path string, node *yaml.Node, target reflect.Value, limits constraint, depth int) {
	d.seen[path] = true
	if depth > maxDepth {
		d.faultAt(node, path, "must not be nested more than %d levels deep", maxDepth)
		return
	}
	if node.Kind == yaml.AliasNode {
		d.faultAt(node, path, "must be written out: aliases are not allowed")
		return
	}
	switch {
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(path, node, target.Elem(), limits, depth+1)
	case target.Kind() == reflect.Struct:
		d.structure(path, node, target, depth)
	case target.Kind() == reflect.Slice:
		d.list(path, node, target, limits, depth)
	case target.Kind() == reflect.Map:
		d.mapping(path, node, target)
	default:
		d.scalar(path, node, target, limits)
	}
}

// structure fills the fields of a struct and names unknown and repeated keys.
func (d *decoder) structure(path string, node *yaml.Node, target reflect.Value, depth int) {
	if node.Kind != yaml.MappingNode {
		d.faultAt(node, path, "must be a mapping with the fields %s, got %s", fieldNames(target.Type()), describe(node))
		return
	}
	keys := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		keyNode, valueNode := node.Content[i], node.Content[i+1]
		name := keyNode.Value
		fieldPath := join(path, name)
		if keys[name] {
			d.faultAt(keyNode, fieldPath, "must stand once, found a second time")
			continue
		}
		keys[name] = true
		field, known := findField(target.Type(), name)
		if !known {
			d.faultAt(keyNode, fieldPath, "unknown field; allowed are %s", fieldNames(target.Type()))
			continue
		}
		d.value(fieldPath, valueNode, target.FieldByIndex(field.Index), constraintOf(field), depth+1)
	}
}

// complete gives defaults to the fields that nothing set and names those that
// must be set. It runs once, after the file and the overrides.
func (d *decoder) complete(path string, target reflect.Value) {
	switch target.Kind() {
	case reflect.Pointer:
		if !target.IsNil() {
			d.complete(path, target.Elem())
		}
	case reflect.Slice:
		for i := range target.Len() {
			d.complete(fmt.Sprintf("%s[%d]", path, i), target.Index(i))
		}
	case reflect.Struct:
		for _, field := range fieldsOf(target.Type()) {
			d.completeField(join(path, nameOf(field)), target.FieldByIndex(field.Index), constraintOf(field))
		}
	}
}

func (d *decoder) completeField(path string, value reflect.Value, limits constraint) {
	section := value.Kind() == reflect.Pointer && !value.IsNil()
	if d.seen[path] || section || value.Kind() == reflect.Struct {
		d.complete(path, value)
		return
	}
	if limits.fallback != "" {
		d.text(path, limits.fallback, value, limits)
		return
	}
	if limits.required {
		d.fault(path, "must be set: %s", limits.describe(value.Type()))
	}
}

// list fills a slice.
func (d *decoder) list(path string, node *yaml.Node, target reflect.Value, limits constraint, depth int) {
	if node.Kind != yaml.SequenceNode {
		d.faultAt(node, path, "must be a list, got %s", describe(node))
		return
	}
	elements := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, child := range node.Content {
		d.value(fmt.Sprintf("%s[%d]", path, i), child, elements.Index(i), limits, depth+1)
	}
	target.Set(elements)
	if limits.required && len(node.Content) == 0 {
		d.faultAt(node, path, "must not be an empty list")
	}
}

// mapping fills a map from strings to strings.
func (d *decoder) mapping(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.faultAt(node, path, "must be a mapping from strings to strings, got %s", describe(node))
		return
	}
	entries := reflect.MakeMap(target.Type())
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, child := node.Content[i].Value, node.Content[i+1]
		entryPath := join(path, key)
		if entries.MapIndex(reflect.ValueOf(key)).IsValid() {
			d.faultAt(child, entryPath, "must stand once, found a second time")
			continue
		}
		entry := reflect.New(target.Type().Elem()).Elem()
		d.scalar(entryPath, child, entry, constraint{})
		entries.SetMapIndex(reflect.ValueOf(key), entry)
	}
	target.Set(entries)
}

// scalar fills a string, number, boolean or duration. A string field takes
// only text that YAML reads as text, so that "yes" or 1.10 is never guessed at.
func (d *decoder) scalar(path string, node *yaml.Node, target reflect.Value, limits constraint) {
	if node.Kind != yaml.ScalarNode {
		d.faultAt(node, path, "must be %s, got %s", typeName(target.Type()), describe(node))
		return
	}
	if node.Tag == "!!null" {
		d.faultAt(node, path, "must be %s, got nothing", typeName(target.Type()))
		return
	}
	if target.Kind() == reflect.String && node.Tag != "!!str" {
		d.faultAt(node, path, "must be text, got %s; put it in quotes", describe(node))
		return
	}
	before := len(d.faults)
	d.text(path, node.Value, target, limits)
	for i := before; i < len(d.faults); i++ {
		d.faults[i].Message += fmt.Sprintf(" (line %d)", node.Line)
	}
}

// text fills a scalar from its text and checks its value. Flags, variables and
// defaults come this way as well.
func (d *decoder) text(path, text string, target reflect.Value, limits constraint) {
	d.seen[path] = true
	if !setText(text, target) {
		d.fault(path, "must be %s, got %q", typeName(target.Type()), text)
		return
	}
	if message := limits.check(target); message != "" {
		d.fault(path, "%s, got %q", message, text)
	}
}

// setText parses text by the target's type.
func setText(text string, target reflect.Value) bool {
	if target.Type() == durationType {
		duration, err := time.ParseDuration(text)
		if err != nil {
			return false
		}
		target.SetInt(int64(duration))
		return true
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return false
		}
		target.SetBool(value)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value, err := strconv.ParseInt(text, 10, target.Type().Bits())
		if err != nil {
			return false
		}
		target.SetInt(value)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value, err := strconv.ParseUint(text, 10, target.Type().Bits())
		if err != nil {
			return false
		}
		target.SetUint(value)
	case reflect.Float64:
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return false
		}
		target.SetFloat(value)
	default:
		return false
	}
	return true
}

// faulty reports whether a fault is known at path.
func (d *decoder) faulty(path string) bool {
	for _, known := range d.faults {
		if known.Field == path {
			return true
		}
	}
	return false
}

// faultyBelow reports whether a fault is known at path or below it.
func (d *decoder) faultyBelow(path string) bool {
	for _, known := range d.faults {
		if isAtOrBelow(known.Field, path) {
			return true
		}
	}
	return false
}

func isAtOrBelow(field, path string) bool {
	return field == path || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[")
}

// sorted returns the faults by field, in a fixed order.
func (d *decoder) sorted() []api.FieldFault {
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Field < d.faults[j].Field })
	return d.faults
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if node.Tag == "!!null" {
		return "nothing"
	}
	return strconv.Quote(node.Value)
}

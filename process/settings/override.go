package settings

import (
	"flag"
	"reflect"
	"strings"
	"unicode"
)

// Override is one field given by a flag or a variable.
type Override struct {
	Path string // below the section, such as "electionTimeout"
	Text string
}

// Flags collects the overrides of one section. Setting a flag never fails by
// itself: the text is checked together with the file, so that faults of both
// are reported at once.
type Flags struct {
	values []*flagValue
}

type flagValue struct {
	path string
	text string
	set  bool
	bool bool
}

// String returns the text that was set.
func (v *flagValue) String() string {
	if v == nil {
		return ""
	}
	return v.text
}

// Set keeps the text.
func (v *flagValue) Set(text string) error {
	v.text = text
	v.set = true
	return nil
}

// IsBoolFlag lets a boolean flag stand without a value.
func (v *flagValue) IsBoolFlag() bool { return v.bool }

// RegisterFlags adds one flag for each scalar field (and list of text) of the
// section and of "log" to flagSet. The flag of electionTimeout is
// --election-timeout and its variable is LANDINGTRAIL_ELECTION_TIMEOUT.
func RegisterFlags(flagSet *flag.FlagSet, section Section) *Flags {
	flags := &Flags{}
	flags.register(flagSet, "log.", reflect.TypeFor[Log]())
	switch section {
	case SectionControl:
		flags.register(flagSet, string(section)+".", reflect.TypeFor[Control]())
	case SectionProxy:
		flags.register(flagSet, string(section)+".", reflect.TypeFor[Proxy]())
	case SectionRelay:
		flags.register(flagSet, string(section)+".", reflect.TypeFor[Relay]())
	}
	return flags
}

func (f *Flags) register(flagSet *flag.FlagSet, prefix string, structType reflect.Type) {
	for _, field := range fieldsOf(structType) {
		if !isFlag(field.Type) {
			continue
		}
		value := &flagValue{path: prefix + nameOf(field), bool: field.Type.Kind() == reflect.Bool}
		f.values = append(f.values, value)
		flagSet.Var(value, flagName(prefix, nameOf(field)), flagUsage(field))
	}
}

// Overrides returns what flags and variables have set.
func (f *Flags) Overrides() []Override {
	var overrides []Override
	for _, value := range f.values {
		if value.set {
			overrides = append(overrides, Override{Path: value.path, Text: value.text})
		}
	}
	return overrides
}

func isFlag(fieldType reflect.Type) bool {
	switch fieldType.Kind() {
	case reflect.Struct, reflect.Pointer, reflect.Map:
		return false
	case reflect.Slice:
		return fieldType.Elem().Kind() == reflect.String
	}
	return true
}

// flagName turns "electionTimeout" into "election-timeout"; fields of "log"
// keep the prefix.
func flagName(prefix, name string) string {
	if prefix == "log." {
		name = "log" + strings.ToUpper(name[:1]) + name[1:]
	}
	var words strings.Builder
	for _, letter := range name {
		if unicode.IsUpper(letter) {
			words.WriteByte('-')
		}
		words.WriteRune(unicode.ToLower(letter))
	}
	return words.String()
}

func flagUsage(field reflect.StructField) string {
	usage := field.Tag.Get(tagUsage)
	limits := constraintOf(field)
	if field.Type.Kind() == reflect.Slice {
		usage += " Separated by commas."
	}
	if limits.fallback != "" {
		usage += " Default " + limits.fallback + "."
	}
	return usage
}

// override lays the overrides over the file's fields. A fault of the file in
// an overridden field no longer matters.
func (d *decoder) override(file *File, section Section, overrides []Override) {
	for _, one := range overrides {
		head, name, _ := strings.Cut(one.Path, ".")
		var target reflect.Value
		switch {
		case head == "log":
			target = reflect.ValueOf(file.Log).Elem()
		case section == SectionControl:
			target = reflect.ValueOf(file.Control).Elem()
		default:
			target = reflect.ValueOf(file.Proxy).Elem()
		}
		field, known := findField(target.Type(), name)
		if !known {
			d.fault(one.Path, "unknown field; allowed are %s", fieldNames(target.Type()))
			continue
		}
		d.forgive(one.Path)
		d.overrideField(one, target.FieldByIndex(field.Index), constraintOf(field))
	}
}

func (d *decoder) overrideField(one Override, target reflect.Value, limits constraint) {
	if target.Kind() != reflect.Slice {
		d.text(one.Path, one.Text, target, limits)
		return
	}
	d.seen[one.Path] = true
	parts := strings.Split(one.Text, ",")
	elements := reflect.MakeSlice(target.Type(), len(parts), len(parts))
	for i, part := range parts {
		d.text(one.Path, strings.TrimSpace(part), elements.Index(i), limits)
	}
	target.Set(elements)
}

// forgive drops the faults at and below path.
func (d *decoder) forgive(path string) {
	kept := d.faults[:0]
	for _, known := range d.faults {
		if !isAtOrBelow(known.Field, path) {
			kept = append(kept, known)
		}
	}
	d.faults = kept
}

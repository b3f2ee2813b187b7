package settings

import (
	"fmt"
	"reflect"
	"strings"
)

const settingsPageHead = `# Settings

A daemon reads one YAML file (` + "`--settings F`" + `), then variables, then flags, each over
the one before; the fields of ` + "`control.members[]`" + ` stand in the file alone. Everything is
checked before anything starts; every fault is named by its field, none hidden behind the first, and an
unknown field is a fault. ` + "`landingtrail check --settings F`" + ` does the same and no more.

Durations are text such as 250ms or 1m30s, addresses an IP number and a port. This
page is made from the code (` + "`landingtrail-lab page settings`" + `), and a test keeps the
two equal. Files of objects have one field, ` + "`objects`" + `: a list in which each entry
has one of ` + "`intent`, `engine`, `service`, `class`, `tenant`" + `.
`

// section is one part of a file for the page.
type section struct {
	path       string
	structType reflect.Type
	flags      bool // its fields have flags
}

// Page returns docs/SETTINGS.md.
func Page() string {
	var page strings.Builder
	page.WriteString(settingsPageHead)
	for _, one := range []section{
		{"log", reflect.TypeFor[Log](), true},
		{"control", reflect.TypeFor[Control](), true},
		{"control.members[]", reflect.TypeFor[Member](), false},
		{"proxy", reflect.TypeFor[Proxy](), true},
		{"relay", reflect.TypeFor[Relay](), true},
	} {
		writeSection(&page, one)
	}
	return page.String()
}

func writeSection(page *strings.Builder, one section) {
	fmt.Fprintf(page, "\n## %s\n\n", one.path)
	page.WriteString("| field | type | default | unit | allowed | flag | variable | meaning |\n|---|---|---|---|---|---|---|---|\n")
	for _, field := range fieldsOf(one.structType) {
		limits := constraintOf(field)
		option := pageOption(one, field)
		cells := []string{
			"`" + join(one.path, nameOf(field)) + "`",
			pageType(field.Type),
			pageDefault(limits),
			orDash(field.Tag.Get(tagUnit)),
			orDash(pageAllowed(limits)),
			option.flag,
			option.variable,
			field.Tag.Get(tagUsage),
		}
		fmt.Fprintf(page, "| %s |\n", strings.Join(cells, " | "))
	}
}

// option is how a field is given on the command line and in the environment.
type option struct {
	flag     string
	variable string
}

// variablePrefix starts the variables that stand in for flags.
const variablePrefix = "LANDINGTRAIL_"

func pageOption(one section, field reflect.StructField) option {
	if !one.flags || !isFlag(field.Type) {
		return option{flag: orDash(""), variable: orDash("")}
	}
	name := flagName(one.path+".", nameOf(field))
	variable := variablePrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return option{flag: "`--" + name + "`", variable: "`" + variable + "`"}
}

func pageType(fieldType reflect.Type) string {
	if fieldType == durationType {
		return "duration"
	}
	switch fieldType.Kind() {
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "number"
	}
	return "whole number"
}

func pageDefault(limits constraint) string {
	if limits.required {
		return "required"
	}
	return orDash(limits.fallback)
}

func pageAllowed(limits constraint) string {
	if len(limits.allowed) > 0 {
		return strings.Join(limits.allowed, ", ")
	}
	if limits.format != "" {
		return strings.TrimPrefix(formats[limits.format].message, "must be ")
	}
	return limits.bounds()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

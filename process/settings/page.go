package settings

import (
	"fmt"
	"reflect"
	"strings"
)

const settingsPageHead = `# Settings

A daemon reads one YAML file (` + "`--settings F`" + `), then variables, then flags, each over
the one before. The flag of ` + "`control.electionTimeout`" + ` is ` + "`--election-timeout`" + `, its
variable ` + "`LANDINGTRAIL_ELECTION_TIMEOUT`" + `. Everything is checked before anything
starts; every fault is named by its field, none hidden behind the first, and an
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
}

// Page returns docs/SETTINGS.md.
func Page() string {
	var page strings.Builder
	page.WriteString(settingsPageHead)
	for _, one := range []section{
		{"log", reflect.TypeFor[Log]()},
		{"control", reflect.TypeFor[Control]()},
		{"control.members[]", reflect.TypeFor[Member]()},
		{"proxy", reflect.TypeFor[Proxy]()},
	} {
		writeSection(&page, one)
	}
	return page.String()
}

func writeSection(page *strings.Builder, one section) {
	fmt.Fprintf(page, "\n## %s\n\n| field | type | default | unit | allowed | meaning |\n|---|---|---|---|---|---|\n", one.path)
	for _, field := range fieldsOf(one.structType) {
		limits := constraintOf(field)
		cells := []string{
			"`" + join(one.path, nameOf(field)) + "`",
			pageType(field.Type),
			pageDefault(limits),
			orDash(field.Tag.Get(tagUnit)),
			orDash(pageAllowed(limits)),
			field.Tag.Get(tagUsage),
		}
		fmt.Fprintf(page, "| %s |\n", strings.Join(cells, " | "))
	}
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

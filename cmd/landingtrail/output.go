package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

func outputFlag(flagSet *flag.FlagSet) *string {
	var output string
	choiceFlag(flagSet, &output, "output", "form of the result: table or json", outputTable, outputJSON)
	return &output
}

func exampleHelp(lines ...string) string {
	return "EXAMPLE\n  " + strings.Join(lines, "\n  ")
}

// checkReport is the JSON of "check".
type checkReport struct {
	File   string           `json:"file"`
	Faults []api.FieldFault `json:"faults"`
}

func printJSON(to io.Writer, value any) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}

// table prints aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(to io.Writer, titles ...string) *table {
	printed := &table{writer: tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)}
	printed.row(stringsToAny(titles)...)
	return printed
}

func (t *table) row(cells ...any) {
	var texts []string
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	printf(t.writer, "%s\n", strings.Join(texts, "\t"))
}

func (t *table) flush() error {
	return errors.Wrap(t.writer.Flush(), "write table")
}

func stringsToAny(texts []string) []any {
	values := make([]any, len(texts))
	for i, text := range texts {
		values[i] = text
	}
	return values
}

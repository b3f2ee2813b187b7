package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Forms of output.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// OutputFlag defines --output.
func OutputFlag(flagSet *flag.FlagSet) *string {
	var output string
	ChoiceFlag(flagSet, &output, "output", "form of the result: table or json", OutputTable, OutputJSON)
	return &output
}

// PrintJSON writes one indented JSON value.
func PrintJSON(to io.Writer, value any) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}

// Table prints aligned columns.
type Table struct {
	writer *tabwriter.Writer
}

// NewTable starts a table with its titles.
func NewTable(to io.Writer, titles ...string) *Table {
	printed := &Table{writer: tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)}
	cells := make([]any, len(titles))
	for i, title := range titles {
		cells[i] = title
	}
	printed.Row(cells...)
	return printed
}

// Row adds a row; an empty cell prints as "-".
func (t *Table) Row(cells ...any) {
	var texts []string
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	Printf(t.writer, "%s\n", strings.Join(texts, "\t"))
}

// Flush writes the table.
func (t *Table) Flush() error {
	return errors.Wrap(t.writer.Flush(), "write table")
}

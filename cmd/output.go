package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// outputFormat is the value of the flag --output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// String returns the format's name.
func (o *outputFormat) String() string { return string(*o) }

// Type returns the value placeholder shown in the help text.
func (o *outputFormat) Type() string { return "table|json" }

// Set parses the format's name.
func (o *outputFormat) Set(text string) error {
	switch format := outputFormat(text); format {
	case outputTable, outputJSON:
		*o = format
		return nil
	default:
		return fmt.Errorf("want table or json")
	}
}

// addTo adds the flag --output to a command, with shell completion of its values.
func (o *outputFormat) addTo(command *cobra.Command) {
	*o = outputTable
	command.Flags().VarP(o, "output", "o", "output format")
	values := cobra.FixedCompletions([]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp)
	_ = command.RegisterFlagCompletionFunc("output", values)
}

// printOutput prints value as JSON, or as the rows that table adds.
func printOutput[T any](out io.Writer, format outputFormat, value T, table func(*rowPrinter, T)) error {
	if format == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return wrapOutputError(encoder.Encode(value))
	}
	rows := &rowPrinter{out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	table(rows, value)
	return wrapOutputError(rows.out.Flush())
}

// wrapOutputError wraps an output error in the type Failed, and returns nil for nil.
func wrapOutputError(err error) error {
	if err == nil {
		return nil
	}
	return Failed.Wrap(err, "write output")
}

// rowPrinter prints rows with aligned columns.
type rowPrinter struct {
	out *tabwriter.Writer
}

// addRow prints one row, with "-" for an empty cell. Flush returns write errors.
func (r *rowPrinter) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(r.out, strings.Join(texts, "\t"))
}

// addBlankLine prints an empty line and starts a new column alignment.
func (r *rowPrinter) addBlankLine() {
	_ = r.out.Flush()
	_, _ = fmt.Fprintln(r.out)
}

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

// Type names the kind of value in the help text.
func (o *outputFormat) Type() string { return "table|json" }

// Set reads the format's name.
func (o *outputFormat) Set(text string) error {
	switch format := outputFormat(text); format {
	case outputTable, outputJSON:
		*o = format
		return nil
	default:
		return fmt.Errorf("want table or json")
	}
}

// addTo declares the flag, with completion of its values.
func (o *outputFormat) addTo(command *cobra.Command) {
	*o = outputTable
	command.Flags().VarP(o, "output", "o", "output format")
	values := cobra.FixedCompletions([]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp)
	_ = command.RegisterFlagCompletionFunc("output", values)
}

// write prints value as JSON, or the rows that table makes of it.
func write[T any](out io.Writer, format outputFormat, value T, table func(*rows, T)) error {
	if format == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return failure(encoder.Encode(value))
	}
	printed := &rows{out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	table(printed, value)
	return failure(printed.out.Flush())
}

// failure gives an error of output the type Failed.
func failure(err error) error {
	if err == nil {
		return nil
	}
	return Failed.Wrap(err, "write output")
}

// rows prints aligned columns.
type rows struct {
	out *tabwriter.Writer
}

// add prints one row. A failed write is told by Flush.
func (r *rows) add(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(r.out, strings.Join(texts, "\t"))
}

// gap prints an empty line, after which columns are aligned anew.
func (r *rows) gap() {
	_ = r.out.Flush()
	_, _ = fmt.Fprintln(r.out)
}

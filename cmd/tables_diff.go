package cmd

import (
	"io"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/tabulator"
)

// diffContext is the number of unchanged lines shown around a difference.
const diffContext = 3

type tablesDiffCommand struct {
	node  nodeFlags
	files tableFiles
}

func newTablesDiffCommand() *cobra.Command {
	d := &tablesDiffCommand{}
	command := &cobra.Command{
		Use:   "diff",
		Short: "Compare the tables in force with files",
		Long: `Print a unified diff from the tables in force to the files, and exit with code 1
where they differ. Comments and the order of keys do not count.`,
		Example: `  foxtailspool tables diff --routes routes.toml
  foxtailspool tables diff --routes routes.toml --pools pools.toml`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return d.run(command) },
	}
	d.node.addTo(command)
	d.files.addTo(command)
	return command
}

func (d *tablesDiffCommand) run(command *cobra.Command) error {
	routes, pools, err := d.files.read()
	if err != nil {
		return err
	}
	client, err := d.node.client()
	if err != nil {
		return err
	}
	tables, err := client.Tables(command.Context())
	if err != nil {
		return err
	}
	routesDiffer, err := printDiff(command.OutOrStdout(), tables.Routes, routes, d.files.routesPath)
	if err != nil {
		return err
	}
	poolsDiffer, err := printDiff(command.OutOrStdout(), tables.Pools, pools, d.files.poolsPath)
	if err != nil {
		return err
	}
	if routesDiffer || poolsDiffer {
		return Differs.New("the tables differ")
	}
	return nil
}

// printDiff prints a unified diff from the active table to the edited one, and
// reports whether they differ. A nil edited table counts as equal.
func printDiff[T tabulator.Routes | tabulator.Pools](out io.Writer, active T, edited *T, path string) (bool, error) {
	if edited == nil {
		return false, nil
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(tabulator.FormatTOML(active))),
		B:        difflib.SplitLines(string(tabulator.FormatTOML(*edited))),
		FromFile: "in force",
		ToFile:   path,
		Context:  diffContext,
	})
	if err != nil {
		return false, Failed.Wrap(err, "compare")
	}
	_, err = io.WriteString(out, text)
	return text != "", wrapOutputError(err)
}

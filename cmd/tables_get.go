package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

type tablesGetCommand struct {
	node   nodeFlags
	output outputFormat
}

func newTablesGetCommand() *cobra.Command {
	g := &tablesGetCommand{}
	command := &cobra.Command{
		Use:   "get routes|pools",
		Short: "Print a table in force, as TOML to edit and apply",
		Example: `  foxtailspool tables get routes > routes.toml
  foxtailspool tables get pools --output json`,
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"routes", "pools"},
		RunE:      func(command *cobra.Command, args []string) error { return g.run(command, args[0]) },
	}
	g.node.addTo(command)
	g.output.addTo(command)
	return command
}

func (g *tablesGetCommand) run(command *cobra.Command, table string) error {
	client, err := g.node.client()
	if err != nil {
		return err
	}
	tables, err := client.Tables(command.Context())
	if err != nil {
		return err
	}
	switch {
	case g.output == outputTable:
		_, err = command.OutOrStdout().Write(formatTable(tables, table))
		return wrapOutputError(err)
	case table == "routes":
		return printOutput(command.OutOrStdout(), g.output, tables.Routes, nil)
	default:
		return printOutput(command.OutOrStdout(), g.output, tables.Pools, nil)
	}
}

// formatTable returns a table as TOML, below a comment with its configuration number.
func formatTable(tables administrator.Tables, table string) []byte {
	header := fmt.Appendf(nil, "# %s table of configuration %d\n", table, tables.Configuration)
	if table == "routes" {
		return append(header, tabulator.FormatTOML(tables.Routes)...)
	}
	return append(header, tabulator.FormatTOML(tables.Pools)...)
}

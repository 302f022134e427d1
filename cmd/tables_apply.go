package cmd

import (
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

type tablesApplyCommand struct {
	node   nodeFlags
	files  tableFiles
	base   uint64
	output outputFormat
}

func newTablesApplyCommand() *cobra.Command {
	a := &tablesApplyCommand{}
	command := &cobra.Command{
		Use:   "apply",
		Short: "Replace one or both tables, and wait until the edit is accepted",
		Long: `Replace one or both tables. The command returns once the edit is accepted: it is
in the platform's store and held by a node in every data centre that can be
reached, and will be in force everywhere within seconds. Tables that break each
other are refused as a whole, and those in force stay. Data centres that could
not be reached are listed, and the exit code is 0: the edit is accepted and comes
into force there once they can be reached.

With --base the edit loses, with exit code 4, to any other that was accepted
since that number. With exit code 6 the edit may have been accepted: compare
with "tables diff" before another try.`,
		Example: `  foxtailspool tables apply --routes routes.toml --pools pools.toml
  foxtailspool tables apply --routes routes.toml --base 41`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return a.run(command) },
	}
	a.node.addTo(command)
	a.files.addTo(command)
	a.output.addTo(command)
	command.Flags().Uint64Var(&a.base, "base", 0, "the configuration `number` that the edit was made from")
	return command
}

func (a *tablesApplyCommand) run(command *cobra.Command) error {
	routes, pools, err := a.files.read()
	if err != nil {
		return err
	}
	client, err := a.node.client()
	if err != nil {
		return err
	}
	accepted, err := client.Apply(command.Context(), administrator.Edit{
		Routes: routes,
		Pools:  pools,
		Base:   identifier.Configuration(a.base),
	})
	if err != nil {
		return err
	}
	return printOutput(command.OutOrStdout(), a.output, accepted, func(r *rowPrinter, accepted administrator.ApplyResult) {
		r.addRow("accepted as configuration", accepted.Configuration)
		for _, dataCentre := range accepted.Unreached {
			r.addRow("data centre not reached yet", dataCentre)
		}
	})
}

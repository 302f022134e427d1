package cmd

import (
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
)

type tablesStatusCommand struct {
	node   nodeFlags
	output outputFormat
}

func newTablesStatusCommand() *cobra.Command {
	s := &tablesStatusCommand{}
	command := &cobra.Command{
		Use:     "status",
		Short:   "Show which nodes have which configuration",
		Example: "  foxtailspool tables status --operators http://192.0.2.1:9090",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return s.run(command) },
	}
	s.node.addTo(command)
	s.output.addTo(command)
	return command
}

func (s *tablesStatusCommand) run(command *cobra.Command) error {
	client, err := s.node.client()
	if err != nil {
		return err
	}
	spread, err := client.Rollout(command.Context())
	if err != nil {
		return err
	}
	return printOutput(command.OutOrStdout(), s.output, spread, printSpread)
}

func printSpread(r *rowPrinter, spread administrator.Rollout) {
	r.addRow("configuration", spread.Configuration)
	if spread.Refusal != "" {
		r.addRow("latest edit refused", spread.Refusal)
	}
	if spread.StoreUnreachable {
		r.addRow("platform", "unreachable")
	}
	r.addBlankLine()
	r.addRow("NODE", "DATA CENTRE", "CONFIGURATION", "STATE")
	for _, node := range spread.Nodes {
		r.addRow(node.Node, node.DataCentre, node.Configuration, spreadState(spread, node))
	}
}

func spreadState(spread administrator.Rollout, node administrator.NodeConfiguration) string {
	switch {
	case node.Unreachable:
		return "unreachable"
	case node.Configuration < spread.Configuration:
		return "behind"
	default:
		return "in force"
	}
}

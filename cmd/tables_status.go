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
	return write(command.OutOrStdout(), s.output, spread, printSpread)
}

func printSpread(r *rows, spread administrator.Rollout) {
	r.add("configuration", spread.Configuration)
	if spread.Refusal != "" {
		r.add("latest edit refused", spread.Refusal)
	}
	if spread.StoreUnreachable {
		r.add("platform", "unreachable")
	}
	r.gap()
	r.add("NODE", "DATA CENTRE", "CONFIGURATION", "STATE")
	for _, node := range spread.Nodes {
		r.add(node.Node, node.DataCentre, node.Configuration, spreadState(spread, node))
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

package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
)

type statusCommand struct {
	node   nodeFlags
	output outputFormat
}

func newStatusCommand() *cobra.Command {
	s := &statusCommand{}
	command := &cobra.Command{
		Use:   "status",
		Short: "Show what a node sees: members, pools, held grants, configuration number",
		Long: `Show what one node sees: the members of the fleet, the pools with their owners,
held grants and waiting requests, and the number of the configuration in force.
The grants of all nodes and the waiting requests of a pool's shard are known at
its owner only: ask that node.`,
		Example: `  foxtailspool status
  foxtailspool status --operators https://192.0.2.1:9090 --authority-file fleet.pem
  foxtailspool status --output json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return s.run(command) },
	}
	s.node.addTo(command)
	s.output.addTo(command)
	return command
}

func (s *statusCommand) run(command *cobra.Command) error {
	client, err := s.node.client()
	if err != nil {
		return err
	}
	status, err := client.Status(command.Context())
	if err != nil {
		return err
	}
	return printOutput(command.OutOrStdout(), s.output, status, printStatus)
}

func printStatus(r *rowPrinter, status administrator.Status) {
	r.addRow("node", status.Node)
	r.addRow("data centre", status.DataCentre)
	r.addRow("state", status.State)
	if status.Unready != "" {
		r.addRow("not ready", status.Unready)
	}
	r.addRow("configuration", status.Configuration)
	r.addRow("requests in flight", status.InFlight)
	r.addBlankLine()
	r.addRow("MEMBER", "DATA CENTRE", "STATE", "INCARNATION", "CALLERS", "PEERS")
	for _, m := range status.Members {
		r.addRow(m.Node, m.DataCentre, m.State, m.Incarnation, m.Callers, m.Peers)
	}
	r.addBlankLine()
	r.addRow("POOL", "KIND", "GRANTS HELD HERE", "PIECES HELD HERE")
	for _, p := range status.Pools {
		r.addRow(p.Name, p.Kind, p.Grants, p.Pieces)
	}
	r.addBlankLine()
	r.addRow("SHARD", "OWNER", "HELD GRANTS", "HELD PIECES", "WAITING URGENT", "WAITING NORMAL", "WAITING LESSER")
	for _, p := range status.Pools {
		for _, s := range p.Shards {
			printShard(r, p, s)
		}
	}
}

func printShard(r *rowPrinter, pool administrator.Pool, shard administrator.Shard) {
	name := fmt.Sprintf("%s/%d", pool.Name, shard.Index)
	if placing := shard.Placing; placing != nil {
		r.addRow(name, shard.Owner, placing.Grants, placing.Pieces, placing.WaitingUrgent, placing.WaitingNormal, placing.WaitingLesser)
		return
	}
	r.addRow(name, shard.Owner, "-", "-", "-", "-", "-")
}

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
	return write(command.OutOrStdout(), s.output, status, printStatus)
}

func printStatus(r *rows, status administrator.Status) {
	r.add("node", status.Node)
	r.add("data centre", status.DataCentre)
	r.add("state", status.State)
	if status.Unready != "" {
		r.add("not ready", status.Unready)
	}
	r.add("configuration", status.Configuration)
	r.add("requests in flight", status.InFlight)
	r.gap()
	r.add("MEMBER", "DATA CENTRE", "STATE", "INCARNATION", "CALLERS", "PEERS")
	for _, m := range status.Members {
		r.add(m.Node, m.DataCentre, m.State, m.Incarnation, m.Callers, m.Peers)
	}
	r.gap()
	r.add("POOL", "KIND", "GRANTS HELD HERE", "PIECES HELD HERE")
	for _, p := range status.Pools {
		r.add(p.Name, p.Kind, p.Grants, p.Pieces)
	}
	r.gap()
	r.add("SHARD", "OWNER", "HELD GRANTS", "HELD PIECES", "WAITING URGENT", "WAITING LESSER")
	for _, p := range status.Pools {
		for _, s := range p.Shards {
			printShard(r, p, s)
		}
	}
}

func printShard(r *rows, pool administrator.Pool, shard administrator.Shard) {
	name := fmt.Sprintf("%s/%d", pool.Name, shard.Index)
	if placing := shard.Placing; placing != nil {
		r.add(name, shard.Owner, placing.Grants, placing.Pieces, placing.WaitingUrgent, placing.WaitingLesser)
		return
	}
	r.add(name, shard.Owner, "-", "-", "-", "-")
}

// Command foxtailspool-measure compares placement policies in virtual time.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/measurer"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	seeds := 5
	root := &cobra.Command{
		Use:          "foxtailspool-measure",
		Short:        "Compare placement policies against small fake engines",
		SilenceUsage: true,
		Run: func(cmd *cobra.Command, _ []string) {
			measurer.Report(cmd.OutOrStdout(), seeds)
		},
	}
	root.AddCommand(ablateCommand(&seeds), causesCommand(&seeds), shardsCommand(&seeds))
	root.PersistentFlags().IntVar(&seeds, "seeds", seeds, "runs of each scenario, each with its own seed")
	return root
}

func ablateCommand(seeds *int) *cobra.Command {
	var scenarios []string
	sub := &cobra.Command{
		Use:   "ablate",
		Short: "Leave out each element of the policy in turn",
		Run: func(cmd *cobra.Command, _ []string) {
			measurer.Compare(cmd.OutOrStdout(), measurer.Ablations, scenarios, *seeds)
		},
	}
	sub.Flags().StringSliceVar(&scenarios, "scenario", nil, "names of the scenarios to run, all if empty")
	return sub
}

func causesCommand(seeds *int) *cobra.Command {
	var scenarios []string
	sub := &cobra.Command{
		Use:   "causes",
		Short: "Count the requests outside their targets by cause",
		Run: func(cmd *cobra.Command, _ []string) {
			measurer.Causes(cmd.OutOrStdout(), scenarios, *seeds)
		},
	}
	sub.Flags().StringSliceVar(&scenarios, "scenario", nil, "names of the scenarios to run, all if empty")
	return sub
}

func shardsCommand(seeds *int) *cobra.Command {
	var scenarios []string
	sub := &cobra.Command{
		Use:   "shards",
		Short: "Compare one shard with several at larger settings and the target's figures",
		Run: func(cmd *cobra.Command, _ []string) {
			measurer.Shards(cmd.OutOrStdout(), scenarios, *seeds)
		},
	}
	sub.Flags().StringSliceVar(&scenarios, "scenario", nil, "names of the scenarios to run, all if empty")
	return sub
}

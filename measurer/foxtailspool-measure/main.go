// Command foxtailspool-measure compares ways to place requests in virtual time.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/measurer"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	seeds := 5
	root := &cobra.Command{
		Use:          "foxtailspool-measure",
		Short:        "Compare placement policies against small fake engines",
		SilenceUsage: true,
		Run: func(cmd *cobra.Command, _ []string) {
			measurer.Report(cmd.OutOrStdout(), seeds)
		},
	}
	root.Flags().IntVar(&seeds, "seeds", seeds, "runs of each scenario, each with its own seed")
	return root
}

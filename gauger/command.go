package gauger

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// NewCommand returns the command line of foxtailspool-gauge.
func NewCommand() *cobra.Command {
	var sizes []int
	options := Options{}
	command := &cobra.Command{
		Use:          "foxtailspool-gauge",
		Short:        "Measures the resources that a node spends on membership, on the loopback interface",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			printHeader(command.OutOrStdout())
			for _, size := range sizes {
				options.Nodes = size
				result, err := Measure(command.Context(), options)
				if err != nil {
					return fmt.Errorf("%d nodes: %w", size, err)
				}
				printResult(command.OutOrStdout(), result)
			}
			return nil
		},
	}
	command.AddCommand(newProcessesCommand())
	flags := command.Flags()
	flags.IntSliceVar(&sizes, "nodes", []int{8, 16, 32, 64}, "sizes of the fleet to measure")
	flags.DurationVar(&options.SettleTime, "settle", 10*time.Second, "time before the measurement")
	flags.DurationVar(&options.WindowLength, "window", 20*time.Second, "length of each measurement")
	flags.DurationVar(&options.ProbeInterval, "interval", 0, "probe interval; 0 is the default")
	return command
}

func printHeader(out io.Writer) {
	_, _ = fmt.Fprintln(out, "| nodes | start s | window | B/s | writes/s | dials/s | % of a core |"+
		" heap kB | stack kB | goroutines | connections | rumour ms |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

func printResult(out io.Writer, r Result) {
	for _, window := range []struct {
		name string
		cost Cost
	}{{"idle", r.Idle}, {"configuration", r.Configuration}, {"restart", r.Restart}} {
		_, _ = fmt.Fprintf(out, "| %d | %.1f | %s | %.0f | %.2f | %.3f | %.3f | %.0f | %.0f | %.1f | %.1f | %.0f |\n",
			r.Nodes, r.ConvergenceTime.Seconds(), window.name,
			window.cost.BytesPerSecond, window.cost.WritesPerSecond, window.cost.DialsPerSecond, window.cost.CorePercent,
			r.HeapBytes/1000, r.StackBytes/1000, r.Goroutines, r.Connections, float64(r.BroadcastTime.Microseconds())/1000)
	}
}

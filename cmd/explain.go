package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/explainer"
)

type explainCommand struct{}

func newExplainCommand() *cobra.Command {
	e := &explainCommand{}
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from logs what happened to one request",
		Long: `Read the logs of any number of nodes, from files or from standard input, and
print what touches one request in the order of time, with the inputs of each
decision. ID is the request's id as the logs have it.

Lines about the back ends that the request met are printed too, from three seconds
before its first line on. Lines of requests that went well are sampled: one of
sixteen requests is logged.`,
		Example: `  foxtailspool explain 9c41d07be2a35f68 entry-1.log entry-2.log
  cat *.log | foxtailspool explain 9c41d07be2a35f68`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return e.run(command, args[0], args[1:]) },
	}
}

func (e *explainCommand) run(command *cobra.Command, requestID string, files []string) error {
	collector := explainer.New(requestID)
	if len(files) == 0 {
		if err := collector.Read(command.InOrStdin()); err != nil {
			return Failed.Wrap(err, "standard input")
		}
	}
	for _, file := range files {
		if err := readLog(collector, file); err != nil {
			return Failed.Wrap(err, "%s", file)
		}
	}
	timeline := collector.Timeline()
	if len(timeline) == 0 {
		return Failed.New("no line tells of request %q; %d lines could not be read", requestID, collector.Skipped())
	}
	return e.print(command.OutOrStdout(), timeline, collector.Skipped())
}

func (e *explainCommand) print(out io.Writer, timeline []explainer.Line, skipped int) error {
	if err := explainer.Print(out, timeline); err != nil {
		return err
	}
	if skipped == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "%d lines could not be read\n", skipped)
	return err
}

func readLog(collector *explainer.Collector, path string) error {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return collector.Read(file)
}

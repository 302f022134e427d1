// Package cmd implements the command line of foxtailspool. Each command is a type
// in its own file, with its flags as fields. Commands return errors; only Execute
// prints them and maps them to an exit code.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const rootHelp = `foxtailspool routes language-model requests to a prefill pool and a decode pool
kept apart, and plain services beside them.

One program runs on every VM: "serve" starts a node. The other commands check
files before they are used, and ask a running node through its operators'
listener.

Exit codes:
  0  done; an edit is accepted, also where data centres are listed as not reached
  1  "tables diff" found differences
  2  wrong usage: an unknown command, flag or argument
  3  refused: settings or tables are faulty; nothing changed
  4  raced: another edit was accepted first; nothing changed
  5  unavailable: the node cannot be reached or cannot do it now; nothing changed
  6  unknown: the edit may or may not have been accepted; read the tables again
  7  failed: the node or the command broke off`

// Execute runs the command given by args and returns the exit code.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	code := exitCode(err)
	if err != nil && code != exitDiffers {
		_, _ = fmt.Fprintf(stderr, "error: %s\n", errorText(err))
	}
	if code == exitUsage {
		_, _ = fmt.Fprintln(stderr, `Run "foxtailspool --help" for usage.`)
	}
	return code
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "foxtailspool",
		Short:         "Route model requests to separate prefill and decode pools",
		Long:          rootHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		newServeCommand(),
		newRunCommand(),
		newCheckCommand(),
		newTablesCommand(),
		newStatusCommand(),
		newExplainCommand(),
		newVersionCommand(),
	)
	return root
}

package cmd

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/configurator"
)

type checkCommand struct {
	tables tableFiles
	output outputFormat
}

// checkResult lists the faults found in one file, or in both tables joined.
type checkResult struct {
	File   string              `json:"file"`
	Faults configurator.Faults `json:"faults"`
}

func newCheckCommand() *cobra.Command {
	c := &checkCommand{}
	command := &cobra.Command{
		Use:   "check [SETTINGS]",
		Short: "Check a settings file, and tables before they are applied",
		Long: `Check files without starting or asking a node. Each fault of a settings file is
printed with its line and key. Where both tables are given, they are checked as
a whole, as a node does before it accepts them.`,
		Example: `  foxtailspool check entry-1.toml
  foxtailspool check --routes routes.toml --pools pools.toml
  foxtailspool check entry-1.toml --output json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return c.run(command, args) },
	}
	c.tables.addTo(command)
	c.output.addTo(command)
	return command
}

func (c *checkCommand) run(command *cobra.Command, args []string) error {
	if len(args) == 0 && c.tables == (tableFiles{}) {
		return errors.New("nothing to check: name a settings file, --routes or --pools")
	}
	results := []checkResult{}
	if len(args) == 1 {
		_, faults, err := readSettings(args[0])
		if err != nil {
			return err
		}
		results = append(results, checkResult{File: args[0], Faults: faults})
	}
	results = append(results, c.tables.check()...)
	if err := printOutput(command.OutOrStdout(), c.output, results, printCheckResults); err != nil {
		return err
	}
	faults := 0
	for _, result := range results {
		faults += len(result.Faults)
	}
	if faults > 0 {
		return Faulty.New("faults: %d", faults)
	}
	return nil
}

func printCheckResults(r *rowPrinter, results []checkResult) {
	for _, result := range results {
		for _, fault := range result.Faults {
			r.addRow(fmt.Sprintf("%s: %s", result.File, fault))
		}
		if len(result.Faults) == 0 {
			r.addRow(result.File + ": ok")
		}
	}
}

// readSettings parses and validates a settings file. It fails only if the file
// cannot be read; invalid settings are returned as faults.
func readSettings(path string) (configurator.Settings, configurator.Faults, error) {
	content, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return configurator.Settings{}, nil, Failed.Wrap(err, "settings")
	}
	settings, faults := configurator.Parse(content)
	return settings, faults, nil
}

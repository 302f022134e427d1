package cmd

import (
	"errors"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

func newTablesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "tables",
		Short: "Read, compare and change the routes and the pools table",
		Long: `Read, compare and change the two tables: the routes table says which requests go
to which pool and at what rank, the pools table names the engines and services.`,
		Args: cobra.NoArgs,
	}
	command.AddCommand(
		newTablesGetCommand(),
		newTablesDiffCommand(),
		newTablesApplyCommand(),
		newTablesStatusCommand(),
	)
	return command
}

// tableFiles are the paths of TOML files with tables; empty for a table not given.
type tableFiles struct {
	routesPath string
	poolsPath  string
}

func (t *tableFiles) addTo(command *cobra.Command) {
	command.Flags().StringVar(&t.routesPath, "routes", "", "TOML `file` with the routes table")
	command.Flags().StringVar(&t.poolsPath, "pools", "", "TOML `file` with the pools table")
}

// read parses the files and returns nil for a table without a path. It fails if both
// paths are empty or a file is unreadable or invalid.
func (t *tableFiles) read() (*tabulator.Routes, *tabulator.Pools, error) {
	if *t == (tableFiles{}) {
		return nil, nil, errors.New("name a table: --routes, --pools or both")
	}
	routes, err := readTable[tabulator.Routes](t.routesPath)
	if err != nil {
		return nil, nil, err
	}
	pools, err := readTable[tabulator.Pools](t.poolsPath)
	return routes, pools, err
}

// readTable parses one file. It returns nil for an empty path.
func readTable[T tabulator.Routes | tabulator.Pools](path string) (*T, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, Failed.Wrap(err, "table")
	}
	table, err := tabulator.ParseTOML[T](content)
	if err != nil {
		return nil, Faulty.Wrap(err, "%s", path)
	}
	return &table, nil
}

// check lists the faults of each file and, if both are valid, of the joined tables.
func (t *tableFiles) check() []checkResult {
	routes, routesErr := readTable[tabulator.Routes](t.routesPath)
	pools, poolsErr := readTable[tabulator.Pools](t.poolsPath)
	var results []checkResult
	if t.routesPath != "" {
		results = append(results, checkResult{File: t.routesPath, Faults: splitFaults(routesErr)})
	}
	if t.poolsPath != "" {
		results = append(results, checkResult{File: t.poolsPath, Faults: splitFaults(poolsErr)})
	}
	if routes == nil || pools == nil {
		return results
	}
	if _, err := tabulator.Join(1, *routes, *pools); err != nil {
		joined := checkResult{File: t.routesPath + " with " + t.poolsPath, Faults: splitFaults(err)}
		results = append(results, joined)
	}
	return results
}

// splitFaults splits an error's text into faults, which keep their positions as text.
func splitFaults(err error) configurator.Faults {
	if err == nil {
		return nil
	}
	if typed := errorx.Cast(err); typed != nil && typed.Cause() != nil {
		err = typed.Cause()
	}
	var faults configurator.Faults
	for _, problem := range strings.Split(errorText(err), "; ") {
		faults = append(faults, configurator.Fault{Problem: problem})
	}
	return faults
}

package cmd

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// release is the version of this source tree.
const release = "0.1.0"

// version is the output of the command "version".
type version struct {
	Release  string `json:"release"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

type versionCommand struct {
	output outputFormat
}

func newVersionCommand() *cobra.Command {
	v := &versionCommand{}
	command := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  foxtailspool version --output json",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return v.run(command) },
	}
	v.output.addTo(command)
	return command
}

func (v *versionCommand) run(command *cobra.Command) error {
	return printOutput(command.OutOrStdout(), v.output, currentVersion(), func(r *rowPrinter, value version) {
		r.addRow("release", value.Release)
		r.addRow("revision", value.Revision)
		r.addRow("go", value.Go)
		r.addRow("platform", value.Platform)
	})
}

func currentVersion() version {
	current := version{Release: release, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				current.Revision = setting.Value
			}
		}
	}
	return current
}

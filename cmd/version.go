package cmd

import (
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// release is the version of this source tree.
const release = "0.1.0"

// version is what "version" prints.
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
	return write(command.OutOrStdout(), v.output, thisVersion(), func(r *rows, value version) {
		r.add("release", value.Release)
		r.add("revision", value.Revision)
		r.add("go", value.Go)
		r.add("platform", value.Platform)
	})
}

func thisVersion() version {
	this := version{Release: release, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				this.Revision = setting.Value
			}
		}
	}
	return this
}

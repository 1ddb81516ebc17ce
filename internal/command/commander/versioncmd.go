package commander

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (c *Commander) newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Long:    "Prints the version of the program, the revision it was built from, and the version of Go.",
		Example: "  sardinetiller version",
		Args:    cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			version, revision := "(devel)", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			fmt.Fprintf(c.out, "sardinetiller %s, revision %s, %s\n", version, revision, runtime.Version())
		},
	}
}

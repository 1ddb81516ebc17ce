package commander

import (
	"maps"
	"slices"

	"github.com/spf13/cobra"
)

func (c *Commander) newSettingsShowCmd() *cobra.Command {
	var platform, output string
	cmd := &cobra.Command{
		Use:     "show [FILE]",
		Short:   "Show the tree in force, or one file of it",
		Long:    "Shows the files of the revision in force with their contents.",
		Example: "  sardinetiller settings show root.yaml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := newPublisher(platform, true)
			if err != nil {
				return err
			}
			_, files, err := activeTree(cmd.Context(), p)
			if err != nil {
				return err
			}
			shown := make(map[string]string)
			var rows [][]string
			for _, name := range slices.Sorted(maps.Keys(files)) {
				if len(args) == 0 || args[0] == name {
					shown[name] = string(files[name])
					rows = append(rows, []string{"# " + name}, []string{shown[name]})
				}
			}
			return c.print(output, shown, rows)
		},
	}
	addPlatformFlag(cmd, &platform)
	addOutputFlag(cmd, &output)
	return cmd
}

package commander

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
)

func (c *Commander) newSettingsCheckCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "check DIR",
		Short:   "Check a tree without the platform",
		Long:    "Checks every file of a tree and shows each error with its file, line, field and fix. It needs no platform.",
		Example: "  sardinetiller settings check tree",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			files, err := readTree(args[0])
			if err != nil {
				return err
			}
			tree, err := parser.Parse(files)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.out, "%d files, %d services, %d accounts: in order\n", len(files), len(tree.Services), len(tree.Accounts))
			return nil
		},
	}
}

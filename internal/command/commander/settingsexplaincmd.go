package commander

import (
	"fmt"

	"github.com/spf13/cobra"
)

func (c *Commander) newSettingsExplainCmd() *cobra.Command {
	var account, service, domain, desk, dir, platform, output string
	cmd := &cobra.Command{
		Use:   "explain",
		Short: "Show each value at a position in the tree and the level that set it",
		Long: "Values are inherited from root to service, account, the account's use of the service, failure domain\n" +
			"and desk. This shows the values at a position and where they come from, in a directory or, without\n" +
			"--tree, in the revision in force.",
		Example: "  sardinetiller settings explain --tree tree --account gujarat --service exit-llm --domain a --desk gate",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := newResolver(cmd.Context(), dir, platform)
			if err != nil {
				return err
			}
			origins := r.Explain(account, service, domain, desk)
			rows := [][]string{{"FIELD", "VALUE", "SET BY"}}
			for _, o := range origins {
				rows = append(rows, []string{o.Field, fmt.Sprint(o.Value), o.Level})
			}
			return c.print(output, origins, rows)
		},
	}
	cmd.Flags().StringVar(&account, "account", "", "client account")
	cmd.Flags().StringVar(&service, "service", "", "service")
	cmd.Flags().StringVar(&domain, "domain", "", "failure domain")
	cmd.Flags().StringVar(&desk, "desk", "", "desk")
	cmd.Flags().StringVar(&dir, "tree", "", "directory of a tree; the revision in force if not given")
	addPlatformFlag(cmd, &platform)
	addOutputFlag(cmd, &output)
	return cmd
}

package commander

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"
)

func (c *Commander) newSettingsHistoryCmd() *cobra.Command {
	var platform, output string
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the revisions",
		Long:    "Lists the revisions, the oldest first, with who made each, when, and which files it changed.",
		Example: "  sardinetiller settings history --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := newPublisher(platform, true)
			if err != nil {
				return err
			}
			entries, err := p.History(cmd.Context())
			if err != nil {
				return err
			}
			rows := [][]string{{"REVISION", "TIME", "AUTHOR", "FILES", "NOTE"}}
			for _, e := range entries {
				rows = append(rows, []string{
					strconv.FormatUint(e.Revision, 10), e.Time.Format(time.RFC3339), e.Author, strconv.Itoa(len(e.Changes)), e.Note,
				})
			}
			return c.print(output, entries, rows)
		},
	}
	addPlatformFlag(cmd, &platform)
	addOutputFlag(cmd, &output)
	return cmd
}

package commander

import (
	"strings"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
)

// A fileDiff describes how a file differs from the active revision.
type fileDiff struct {
	File string `json:"file" yaml:"file"`
	Diff string `json:"diff" yaml:"diff"` // lines with - are active, lines with + are in the directory
}

func (c *Commander) newSettingsDiffCmd() *cobra.Command {
	var platform, output string
	cmd := &cobra.Command{
		Use:     "diff DIR",
		Short:   "Compare a tree with the revision in force",
		Long:    "Shows each file that differs between a directory and the revision in force.",
		Example: "  sardinetiller settings diff tree",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := readTree(args[0])
			if err != nil {
				return err
			}
			p, err := newPublisher(platform, true)
			if err != nil {
				return err
			}
			manifest, old, err := activeTree(cmd.Context(), p)
			if err != nil {
				return err
			}
			diffs := []fileDiff{}
			var rows [][]string
			for _, change := range manifest.Diff(publisher.ManifestOf(files), 0) {
				d := fileDiff{File: change.File, Diff: diffLines(old[change.File], files[change.File])}
				diffs = append(diffs, d)
				rows = append(rows, []string{d.File}, []string{d.Diff})
			}
			return c.print(output, diffs, rows)
		},
	}
	addPlatformFlag(cmd, &platform)
	addOutputFlag(cmd, &output)
	return cmd
}

func diffLines(old, next []byte) string {
	return cmp.Diff(strings.Split(string(old), "\n"), strings.Split(string(next), "\n"))
}

package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
)

// applyFlags holds the flags of the settings apply command.
type applyFlags struct {
	author   string
	base     uint64
	dry      bool
	note     string
	platform string
	revision uint64
}

func (c *Commander) newSettingsApplyCmd() *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{
		Use:   "apply [DIR]",
		Short: "Make a tree the revision in force",
		Long: "Checks the tree and makes it the next revision, provided that the revision it was made on is still\n" +
			"in force. If another operator was first, the exit code is 4 and what changed is shown. With\n" +
			"--revision an older revision's content comes into force again, as a new revision.",
		Example: "  sardinetiller settings apply tree --base 7 --note 'longer deadlines'\n  sardinetiller settings apply --revision 5 --base 7",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 && flags.revision == 0 {
				return usage(fmt.Errorf("name the directory of the tree, or --revision"))
			}
			return c.runApply(cmd.Context(), args, flags, cmd.Flags().Changed("base"))
		},
	}
	cmd.Flags().StringVar(&flags.author, "author", os.Getenv("USER"), "who applies")
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "revision that the tree was made on; the one in force now if not given")
	cmd.Flags().BoolVar(&flags.dry, "dry-run", false, "check against the platform and write nothing")
	cmd.Flags().StringVar(&flags.note, "note", "", "what the change is for")
	cmd.Flags().Uint64Var(&flags.revision, "revision", 0, "take the content of this revision instead of a directory")
	addPlatformFlag(cmd, &flags.platform)
	return cmd
}

func (c *Commander) runApply(ctx context.Context, args []string, flags applyFlags, hasBase bool) error {
	p, err := newPublisher(flags.platform, flags.dry)
	if err != nil {
		return err
	}
	files, err := filesToApply(ctx, p, args, flags.revision)
	if err != nil {
		return err
	}
	head, _, err := p.Head(ctx)
	if err != nil {
		return err
	}
	if !hasBase {
		flags.base = head.Revision
	}
	revision, err := p.Apply(ctx, publisher.Edit{Files: files, Base: flags.base, Author: flags.author, Note: flags.note})
	if err != nil {
		return err
	}
	what := "in force"
	if flags.dry {
		what = "would be in force"
	}
	fmt.Fprintf(c.out, "revision %d %s\n", revision, what)
	return nil
}

// filesToApply returns the files of the directory, or of an earlier revision if
// one is given.
func filesToApply(ctx context.Context, p *publisher.Publisher, args []string, revision uint64) (map[string][]byte, error) {
	if revision == 0 {
		return readTree(args[0])
	}
	entry, err := p.Entry(ctx, revision)
	if err != nil {
		return nil, err
	}
	manifest, err := p.Manifest(ctx, entry.Manifest)
	if err != nil {
		return nil, unreachable(err)
	}
	return p.Tree(ctx, manifest)
}

package commander

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
)

func (c *Commander) newSettingsCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Check, compare, apply and explain the tree of settings",
		Long: "The tree of settings is a directory of YAML files kept in version control. These commands check it,\n" +
			"compare it with the revision in force, make it the next revision, and explain which values apply.",
	}
	cmd.AddCommand(
		c.newSettingsApplyCmd(), c.newSettingsCheckCmd(), c.newSettingsDiffCmd(),
		c.newSettingsExplainCmd(), c.newSettingsHistoryCmd(), c.newSettingsShowCmd(),
	)
	return cmd
}

// readTree reads the YAML files below a directory, keyed by relative path.
func readTree(dir string) (map[string][]byte, error) {
	files := make(map[string][]byte)
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".yaml") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		files[filepath.ToSlash(name)] = data
		return err
	})
	if err != nil {
		return nil, usage(fmt.Errorf("%w; name the directory of the tree", err))
	}
	if len(files) == 0 {
		return nil, usage(fmt.Errorf("%s: no .yaml file; name the directory of the tree", dir))
	}
	return files, nil
}

// activeTree returns the manifest and the files of the active revision.
func activeTree(ctx context.Context, p *publisher.Publisher) (publisher.Manifest, map[string][]byte, error) {
	head, _, err := p.Head(ctx)
	if err != nil {
		return nil, nil, err
	}
	manifest, err := p.Manifest(ctx, head.Manifest)
	if err != nil {
		return nil, nil, unreachable(err)
	}
	files, err := p.Tree(ctx, manifest)
	if err != nil {
		return nil, nil, unreachable(err)
	}
	return manifest, files, nil
}

// newResolver returns a resolver for the tree in dir, or for the active revision
// if dir is empty.
func newResolver(ctx context.Context, dir, platform string) (*resolver.Resolver, error) {
	var files map[string][]byte
	var err error
	if dir != "" {
		files, err = readTree(dir)
	} else {
		var p *publisher.Publisher
		if p, err = newPublisher(platform, true); err != nil {
			return nil, err
		}
		_, files, err = activeTree(ctx, p)
	}
	if err != nil {
		return nil, err
	}
	tree, err := parser.Parse(files)
	if err != nil {
		return nil, err
	}
	return resolver.New(tree), nil
}

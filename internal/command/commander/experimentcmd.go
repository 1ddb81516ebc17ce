package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/experiment/comparer"
)

func (c *Commander) newExperimentCmd() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Compare policies over workloads and seeds",
		Long: "Runs the deployment and workload that a YAML file describes under each policy, shape and seed, with real\n" +
			"daemons and stand-ins in this process, and shows the results side by side. Ready descriptions are in\n" +
			"the directory experiments. Ctrl-C stops it and prints the results so far.",
		Example: "  sardinetiller experiment experiments/association.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.runExperiment(cmd.Context(), args[0], output)
		},
	}
	addOutputFlag(cmd, &output)
	return cmd
}

func (c *Commander) runExperiment(ctx context.Context, file, output string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return usage(err)
	}
	description, err := comparer.Read(file, data)
	if err != nil {
		return usage(err)
	}
	fmt.Fprintf(c.err, "about %s\n", description.EstimatedDuration())
	progress := c.progress()
	compare := comparer.Comparer{Description: description, Progress: func(done, total int) { progress(done, total, "runs") }}
	cells, err := compare.Run(ctx)
	if printErr := c.print(output, cells, comparer.Rows(description, cells)); printErr != nil {
		return printErr
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted; the figures cover only the runs that had ended")
	}
	return err
}

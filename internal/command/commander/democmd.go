package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/experiment/reporter"
	"github.com/sardinetiller/sardinetiller/internal/experiment/runner"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
)

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	deployment string
	keep       bool
	log        bool
	output     string
	seed       uint64
}

func (c *Commander) newDemoCmd() *cobra.Command {
	var flags demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete deployment on stand-ins and check the promises",
		Long: "Sets up the platform, engines, plain services and entry instances in four failure domains, all in\n" +
			"this process over loopback TCP. It sends a shift change through the public API while the settings\n" +
			"change, an engine drains and an instance is replaced. At the end it compares the records of the\n" +
			"stand-ins with what the callers saw. The exit code is 0 only if no promise was broken.",
		Example: "  sardinetiller demo\n  sardinetiller demo --deployment tsh --seed 7 --output json\n  sardinetiller demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runDemo(cmd.Context(), flags)
		},
	}
	cmd.Flags().StringVar(&flags.deployment, "deployment", stager.Association, "predefined deployment: association or tsh")
	cmd.Flags().BoolVar(&flags.keep, "keep", false, "keep the deployment running afterwards and print a curl command")
	cmd.Flags().BoolVar(&flags.log, "log", false, "write the logs of the instances to stderr")
	cmd.Flags().StringVar(&flags.output, "output", outputTable, "table or json")
	cmd.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the workload")
	return cmd
}

// errInvariantViolated is returned when a run violated an invariant.
var errInvariantViolated = errors.New("a promise was broken")

func (c *Commander) runDemo(ctx context.Context, flags demoFlags) error {
	r, err := runner.Demo(flags.deployment, flags.seed)
	if err != nil {
		return usage(err)
	}
	if flags.output != outputTable && flags.output != outputJSON {
		return usage(fmt.Errorf("--output: %q is unknown; write table or json", flags.output))
	}
	r.Logger = log.NewNopLogger()
	if flags.log {
		r.Logger = log.NewLogfmtLogger(log.NewSyncWriter(c.err))
	}
	r.Progress = c.progress()
	r.OnReport = func(ctx context.Context, d *stager.Deployment, report reporter.Report) error {
		if err := c.printReport(flags.output, &report); err != nil {
			return err
		}
		if flags.keep {
			c.keepRunning(ctx, d)
		}
		return nil
	}
	report, err := r.Run(ctx)
	if err != nil {
		return err
	}
	if report.Violations.Total() > 0 {
		for _, fault := range report.Details {
			fmt.Fprintln(c.err, fault)
		}
		return errInvariantViolated
	}
	return nil
}

// keepRunning keeps the deployment running until ctx is cancelled.
func (c *Commander) keepRunning(ctx context.Context, d *stager.Deployment) {
	address := d.Address(1)
	fmt.Fprintf(c.err, "\nThe deployment stays up until Ctrl-C. Callers: %s, operators: %s\n\n", address, d.Instances[1].Server.Listeners.Operator.Addr())
	fmt.Fprintf(c.err, "curl -sS http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"desk-7@2\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, stager.Key)
	<-ctx.Done()
}

func (c *Commander) printReport(output string, report *reporter.Report) error {
	if output == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.Print(c.out)
}

// progressInterval is the minimum time between two progress updates.
const progressInterval = 200 * time.Millisecond

// progress returns a function that displays the progress of a run: on a terminal
// a single line that is overwritten, elsewhere one line for each new note.
func (c *Commander) progress() func(done, total int, note string) {
	terminal := isTerminal(c.err)
	shown := make(chan progressLine, 1)
	go showProgress(c.err, terminal, shown)
	return func(done, total int, note string) {
		line := progressLine{done: done, total: total, note: note}
		select {
		case shown <- line:
		default: // drop it; the next update supersedes it
		}
	}
}

type progressLine struct {
	done, total int
	note        string
}

func showProgress(w io.Writer, terminal bool, lines <-chan progressLine) {
	last := ""
	for line := range lines {
		switch {
		case terminal:
			fmt.Fprintf(w, "\r\x1b[K%d/%d  %s", line.done, line.total, line.note)
			if line.done == line.total {
				fmt.Fprintln(w)
			}
		case line.note != last:
			fmt.Fprintf(w, "%d/%d  %s\n", line.done, line.total, line.note)
			last = line.note
		}
		time.Sleep(progressInterval)
	}
}

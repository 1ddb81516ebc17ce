package commander

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/experiment/reporter"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/setting/decoder"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	addresses []string
	file      string
	key       string
	output    string
	service   string
	workload  sampler.Workload
	shape     string
}

func (c *Commander) newLoadCmd() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a workload to entry addresses and report",
		Long: "Draws a workload and sends it as ordinary callers would. The shapes are " + shapeNames() + ".\n" +
			"The same seed draws the same workload. It ends with the workload; Ctrl-C ends it early with the results so far.",
		Example: "  sardinetiller load --address 127.0.0.1:8080 --key key.txt --group mill --adapters 3000 --shape shift",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runLoad(cmd.Context(), flags)
		},
	}
	w := &flags.workload
	cmd.Flags().StringSliceVar(&flags.addresses, "address", []string{"127.0.0.1:8080"}, "host:port of entry instances")
	cmd.Flags().StringVar(&flags.file, "workload", "", "YAML file with the workload instead of the flags below")
	cmd.Flags().StringVar(&flags.key, "key", "", "file with the API key")
	cmd.Flags().StringVarP(&flags.output, "output", "o", outputTable, "table or json")
	cmd.Flags().StringVar(&flags.service, "service", "", "plain service for the calls of --plain")
	cmd.Flags().IntVar(&w.Adapters, "adapters", 100, "adapters in the group")
	cmd.Flags().IntVar(&w.Calls, "calls", 500, "calls")
	cmd.Flags().StringVar(&w.Group, "group", "desk", "name of the adapter group")
	cmd.Flags().Float64Var(&w.Near, "near", 0, "fraction of the calls with a near deadline")
	cmd.Flags().Float64Var(&w.Once, "once", 0, "fraction of the calls that must not run twice")
	cmd.Flags().Float64Var(&w.Plain, "plain", 0, "fraction of the calls that go to the plain service")
	cmd.Flags().Uint64Var(&w.Seed, "seed", 1, "seed")
	cmd.Flags().StringVar(&flags.shape, "shape", string(sampler.Zipf), "shape of the workload")
	cmd.Flags().Float64Var(&w.Skew, "skew", 1.3, "exponent of the Zipf distribution of adapters, above 1")
	cmd.Flags().DurationVar(&w.Span, "span", 10*time.Second, "time over which the calls arrive")
	cmd.Flags().IntVar(&w.Tokens, "tokens", 16, "mean length of a response in tokens")
	cmd.Flags().IntVar(&w.Versions, "versions", 1, "versions of each adapter")
	return cmd
}

func (c *Commander) runLoad(ctx context.Context, flags loadFlags) error {
	flags.workload.Shape = sampler.Shape(flags.shape)
	if flags.file != "" {
		data, err := os.ReadFile(flags.file)
		if err != nil {
			return usage(err)
		}
		if err := decoder.Strict(data, &flags.workload); err != nil {
			return usage(fmt.Errorf("%s: %w", flags.file, err))
		}
	}
	key, err := readKey(flags.key)
	if err != nil {
		return usage(err)
	}
	calls, err := flags.workload.Draw()
	if err != nil {
		return usage(err)
	}
	progress := c.progress()
	var done atomic.Int64
	s := sender.Sender{
		Addresses: func() [][]string { return [][]string{flags.addresses} }, Key: key, Service: flags.service,
		OnResult: func(sender.Result) { progress(int(done.Add(1)), len(calls), "") },
	}
	results := s.Run(ctx, calls)
	report := reporter.New(results, nil, nil)
	return c.printReport(flags.output, &report)
}

func shapeNames() string {
	var names []string
	for _, s := range sampler.Shapes {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}

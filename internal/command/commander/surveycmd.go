package commander

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/experiment/surveyor"
)

func (c *Commander) newSurveyCmd() *cobra.Command {
	var output string
	var only []string
	var span time.Duration
	cmd := &cobra.Command{
		Use:   "survey",
		Short: "Measure the slopes that docs/CAPACITY.md extrapolates",
		Long: "Measures how the cost of an instance grows with peers, runners, requests, tokens and changes of the\n" +
			"settings, on real daemons and stand-ins in this process, and fits a straight line to each figure.\n" +
			"Processor time and memory include those of the stand-ins and are upper bounds.",
		Example: "  sardinetiller survey --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runSurvey(cmd.Context(), span, only, output)
		},
	}
	cmd.Flags().StringSliceVar(&only, "only", []string{"peers", "runners", "requests", "tokens", "changes"}, "slopes to measure")
	cmd.Flags().DurationVar(&span, "span", 8*time.Second, "duration of each point")
	addOutputFlag(cmd, &output)
	return cmd
}

func (c *Commander) runSurvey(ctx context.Context, span time.Duration, only []string, output string) error {
	s := surveyor.Surveyor{Span: span, Progress: func(name string, x float64) { fmt.Fprintf(c.err, "%s at %v\n", name, x) }}
	measures := map[string]func() (surveyor.Slope, error){
		"peers":    func() (surveyor.Slope, error) { return s.Peers(ctx, []int{5, 10, 20, 41}) },
		"runners":  func() (surveyor.Slope, error) { return s.Runners(ctx, []int{20, 80, 150, 300}) },
		"requests": func() (surveyor.Slope, error) { return s.Requests(ctx, []int{20, 50, 100, 200}) },
		"tokens":   func() (surveyor.Slope, error) { return s.Tokens(ctx, []int{200, 800, 1600, 3200}) },
		"changes":  func() (surveyor.Slope, error) { return s.Changes(ctx, []int{1, 2, 5, 10}) },
	}
	var slopes []surveyor.Slope
	for _, name := range only {
		measure, ok := measures[name]
		if !ok {
			return usage(fmt.Errorf("--only: %q is unknown; choose from %v", name, slices.Sorted(maps.Keys(measures))))
		}
		slope, err := measure()
		if err != nil {
			return err
		}
		slopes = append(slopes, slope)
	}
	return c.print(output, slopes, surveyRows(slopes))
}

func surveyRows(slopes []surveyor.Slope) [][]string {
	rows := [][]string{{"SLOPE", "FIGURE", "POINTS", "AT 0", "EACH", "R2"}}
	for _, s := range slopes {
		for _, name := range slices.Sorted(maps.Keys(s.Fits)) {
			f := s.Fits[name]
			rows = append(rows, []string{s.Name, name, fmt.Sprint(s.Values(name)), fmt.Sprintf("%.4g", f.Intercept), fmt.Sprintf("%.4g", f.PerUnit), fmt.Sprintf("%.3f", f.R2)})
		}
	}
	return rows
}

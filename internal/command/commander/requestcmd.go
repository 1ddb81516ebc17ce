package commander

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/instance/server"
)

func (c *Commander) newRequestCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "request",
		Short: "Explain requests",
		Long:  "Explains how single requests were routed.",
	}
	cmd.AddCommand(c.newRequestExplainCmd())
	return cmd
}

func (c *Commander) newRequestExplainCmd() *cobra.Command {
	var flags operatorFlags
	var output string
	cmd := &cobra.Command{
		Use:   "explain ID",
		Short: "Explain why a request was routed as it was",
		Long: "Shows each attempt at a request: the runner that was chosen, the best candidates with the terms of their\n" +
			"cost in seconds, and how the attempt failed if it did. The ID is the X-Request-Id of the response.\n" +
			"Ask the instance that the caller reached; it remembers its latest few thousand requests.",
		Example: "  sardinetiller request explain 1f2e3d4c5b6a --operator 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e server.Explanation
			if err := flags.call(cmd.Context(), fasthttp.MethodGet, server.PathExplain+args[0], &e); err != nil {
				return err
			}
			return c.print(output, e, explanationRows(&e))
		},
	}
	flags.add(cmd)
	addOutputFlag(cmd, &output)
	return cmd
}

func explanationRows(e *server.Explanation) [][]string {
	rows := [][]string{{"ATTEMPT", "CANDIDATE", "STALL", "QUEUE", "EMPTY", "TOTAL", "NOTE"}}
	for i, step := range e.Steps {
		for _, t := range step.Terms {
			note := ""
			if t.Runner == step.Runner {
				note = "chosen, owner " + step.Owner
			}
			rows = append(rows, []string{
				strconv.Itoa(i + 1), t.Runner, fmt.Sprintf("%.3f", t.Stall), fmt.Sprintf("%.3f", t.Queue),
				fmt.Sprintf("%.2f", t.Empty), fmt.Sprintf("%.3f", t.Total), note,
			})
		}
		if step.Error != "" || len(step.Terms) == 0 {
			rows = append(rows, []string{strconv.Itoa(i + 1), step.Runner, "", "", "", "", step.Error})
		}
	}
	return rows
}

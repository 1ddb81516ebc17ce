package commander

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/instance/server"
)

func (c *Commander) newStatusCmd() *cobra.Command {
	var flags operatorFlags
	var output string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show an instance, its peers, and the runners of its domain",
		Long: "Asks one instance for its state: the revision in force and since when, its lease, what it knows about the\n" +
			"other instances, who owns each runner of its failure domain with what is resident there, and which requests\n" +
			"are quarantined because engines crashed that ran them.",
		Example: "  sardinetiller status --operator 127.0.0.1:8082",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s server.Status
			if err := flags.call(cmd.Context(), fasthttp.MethodGet, server.PathStatus, &s); err != nil {
				return err
			}
			return c.print(output, s, statusRows(&s))
		},
	}
	flags.add(cmd)
	addOutputFlag(cmd, &output)
	return cmd
}

func statusRows(s *server.Status) [][]string {
	state := "ready"
	switch {
	case s.Leaving:
		state = "leaving"
	case !s.Ready:
		state = "not ready"
	}
	rows := [][]string{
		{"INSTANCE", "DOMAIN", "STATE", "LEASE", "EPOCH", "REVISION", "SINCE", "PLATFORM"},
		{
			s.Incarnation, s.Domain, state, strconv.FormatBool(s.Lease), strconv.FormatUint(s.Epoch, 10),
			strconv.FormatUint(s.Revision, 10), s.Since.Format(time.RFC3339), map[bool]string{false: "answers", true: "away"}[s.Outage],
		},
		{},
		{"PEER", "DOMAIN", "HEALTH", "EPOCH", "REVISION"},
	}
	for _, p := range s.Peers {
		rows = append(rows, []string{p.Incarnation, p.Domain, p.Health, strconv.FormatUint(p.Epoch, 10), strconv.FormatUint(p.Revision, 10)})
	}
	rows = append(rows, []string{}, []string{"RUNNER", "SERVICE", "OWNER", "RUNNING", "WAITING", "RESIDENT", "STATE"})
	for _, r := range s.Runners {
		state := "serves"
		switch {
		case r.Leaving:
			state = "leaving"
		case r.Drained:
			state = "drained"
		}
		rows = append(rows, []string{
			r.Runner, r.Service, r.Owner, strconv.Itoa(r.Running), strconv.Itoa(r.Waiting), fmt.Sprint(len(r.Resident)), state,
		})
	}
	if len(s.Quarantine) > 0 {
		rows = append(rows, []string{}, []string{"QUARANTINE", "CRASHES", "UNTIL"})
	}
	for _, q := range s.Quarantine {
		rows = append(rows, []string{q.Digest, strconv.Itoa(q.Crashes), q.Until.Format(time.RFC3339)})
	}
	return rows
}

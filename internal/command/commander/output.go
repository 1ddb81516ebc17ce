package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

// Output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
	outputYAML  = "yaml"
)

// addOutputFlag adds the flag for the output format.
func addOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVarP(output, "output", "o", outputTable, "table, json or yaml")
}

// print writes a value in the requested format. The table format prints rows, of
// which the first is the header.
func (c *Commander) print(output string, value any, rows [][]string) error {
	switch output {
	case outputJSON:
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputYAML:
		data, err := yaml.Marshal(value)
		if err != nil {
			return err
		}
		_, err = c.out.Write(data)
		return err
	case outputTable:
		t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		for _, row := range rows {
			fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		return t.Flush()
	default:
		return usage(fmt.Errorf("--output: %q is unknown; write table, json or yaml", output))
	}
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

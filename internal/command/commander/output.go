package commander

import (
	"io"
	"os"
)

// The forms of output.
const (
	outputJSON  = "json"
	outputTable = "table"
	outputYAML  = "yaml"
)

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Command sardinetiller serves a large number of LoRA adapters on a few shared
// base models.
package main

import (
	"os"

	"github.com/sardinetiller/sardinetiller/internal/command/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// Command sardinetiller serves very many LoRA adapters on few shared base
// models.
package main

import (
	"os"

	"github.com/sardinetiller/sardinetiller/internal/command/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

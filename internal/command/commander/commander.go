package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
)

// Exit codes of the program; docs/COMMANDS.md documents them.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
)

// An exitError attaches an exit code to an error.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func refused(err error) error { return &exitError{code: ExitRefused, err: err} }

func unreachable(err error) error { return &exitError{code: ExitUnreachable, err: err} }

func usage(err error) error { return &exitError{code: ExitUsage, err: err} }

// A Commander holds the standard streams shared by all commands.
type Commander struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second Ctrl-C terminates the program at once. A second SIGTERM does not: a
	// supervisor may send several, and terminating would abort the requests that
	// the graceful stop waits for.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	c := &Commander{in: in, out: out, err: errOut}
	root := c.newRootCmd()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "sardinetiller: %v\n", err)
	return exitCode(err)
}

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var exit *exitError
	var conflict *publisher.ConflictError
	var invalid *parser.InvalidError
	var unavailable *tabler.UnavailableError
	var unknown *tabler.UnknownError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &invalid):
		return ExitRefused
	case errors.As(err, &unavailable), errors.As(err, &unknown):
		return ExitUnreachable
	default:
		return ExitFailure
	}
}

func (c *Commander) newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:   "sardinetiller",
		Short: "Serve very many LoRA adapters on few shared base models",
		Long: "sardinetiller answers each request with the adapter and version that it named, once, on time.\n" +
			"It runs entry instances before model engines (serve), is driven by a tree of settings kept in\n" +
			"version control (settings), and shows itself at work on stand-ins (demo).",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	root.AddCommand(
		c.newAdapterCmd(), c.newDemoCmd(), c.newDrainCmd(), c.newExperimentCmd(), c.newGatewayCmd(), c.newLoadCmd(), c.newRequestCmd(), c.newServeCmd(),
		c.newSettingsCmd(), c.newStandinCmd(), c.newStatusCmd(), c.newSurveyCmd(), c.newUndrainCmd(), c.newVersionCmd(),
	)
	strictArgs(root)
	return root
}

// strictArgs makes invalid arguments of any command a usage error, and makes
// command groups reject unknown subcommands.
func strictArgs(cmd *cobra.Command) {
	check := cmd.Args
	if cmd.HasSubCommands() {
		check = cobra.NoArgs
		cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	}
	cmd.Args = func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usage(fmt.Errorf("%w; see %s --help", err, cmd.CommandPath()))
		}
		return nil
	}
	for _, sub := range cmd.Commands() {
		strictArgs(sub)
	}
}

// Package shell is the command line of dandelionfield: it runs a node, and it
// drives a mesh through the resource API of any node.
package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/place"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/internal/trail"
)

type (
	// Seams is what the command line needs from outside.
	Seams struct {
		// RunNode runs a node until the context ends, which asks for a planned
		// stop, and returns once the stop is done.
		RunNode func(ctx context.Context, node *setup.Node, log hclog.Logger) error
		// RunSide is RunNode for a node on the users' platform.
		RunSide func(ctx context.Context, node *setup.Node, log hclog.Logger) error
		// Clock is the host's when nil.
		Clock clock.Clock
		// Version is taken from the build when empty.
		Version string
	}

	// app is one run of the command line.
	app struct {
		Seams
		stdout io.Writer
		stderr io.Writer
		output output
		client client
	}
)

// The exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitBadInput   = 2
	ExitConflict   = 3
	ExitNotInForce = 4
)

// logPatience is how long a process that ends waits for the reader of its log.
const logPatience = 200 * time.Millisecond

// tokenVariable holds the operator token when no flag gives it. A flag can be
// seen in the list of processes.
const tokenVariable = "DANDELIONFIELD_TOKEN"

const rootHelp = `dandelionfield keeps a mesh of services answering under overload.

A node runs beside each target. Operators declare services, request kinds,
data centres and limits as YAML, and apply them through any node.

Exit codes:
  0  done
  1  failed
  2  bad input: a flag, a file or a declaration is wrong
  3  conflict: another revision than the expected one is in force
  4  accepted, but not in force everywhere in time`

var (
	namespace = errorx.NewNamespace("cli")
	// Failed means that the command could not do its work.
	Failed = namespace.NewType("failed")
	// Refused means that the node refused the request, also when it is asked
	// again.
	Refused = Failed.NewSubtype("refused")
	// Unanswered means that a change may or may not have been accepted.
	Unanswered = Failed.NewSubtype("unanswered")
	// BadInput means that a flag, an argument or a file is wrong.
	BadInput = namespace.NewType("bad_input")
	// Conflict means that another revision than the expected one is in force.
	Conflict = namespace.NewType("conflict")
	// NotInForce means that some nodes did not take the revision up in time.
	NotInForce = namespace.NewType("not_in_force")
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer, seams Seams) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if seams.Clock == nil {
		seams.Clock = clock.System{}
	}
	a := &app{Seams: seams, stdout: stdout, stderr: stderr}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, message(err))
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "dandelionfield",
		Short:         "Overload control for service call graphs",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return BadInput.New("%v; see %s --help", err, command.CommandPath())
	})
	a.output = outputTable
	root.PersistentFlags().VarP(&a.output, "output", "o", "form of the output: table, yaml or json")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(outputNames, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		a.nodeCommand(), a.sideCommand(), a.checkCommand(), a.diffCommand(), a.applyCommand(), a.getCommand(),
		a.historyCommand(), a.rollbackCommand(), a.watchCommand(), a.statusCommand(), a.drainCommand(), a.explainCommand(), a.versionCommand(),
	)
	return root
}

func (a *app) nodeCommand() *cobra.Command {
	return a.runCommand("node", "Run the node beside a target", a.RunNode)
}

func (a *app) sideCommand() *cobra.Command {
	return a.runCommand("side", "Run the node beside a target of the users' platform", a.RunSide)
}

// runCommand returns a command that runs a node by one of the seams.
func (a *app) runCommand(name, short string, run func(context.Context, *setup.Node, hclog.Logger) error) *cobra.Command {
	var config string
	command := &cobra.Command{
		Use:     name + " --config FILE",
		Short:   short,
		Long:    short + " until SIGTERM or SIGINT, which begin a planned stop:\nthe node takes no new work and ends once the calls in flight have their answers.",
		Example: "  dandelionfield " + name + " --config /etc/dandelionfield/node.yaml",
		Args:    cobra.NoArgs,
		RunE: work(func(command *cobra.Command, _ []string) error {
			node, err := setup.Load(config)
			if err != nil {
				return badFile(err)
			}
			lines := trail.NewWriter(a.stdout)
			defer lines.Close(logPatience)
			log := newLogger(node.LogLevel, lines, a.Clock)
			node.Reloads = reloads(command.Context(), config, log)
			return run(command.Context(), node, log)
		}),
	}
	command.Flags().StringVar(&config, "config", "", "settings of the node")
	_ = command.MarkFlagRequired("config")
	return command
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: work(func(*cobra.Command, []string) error {
			return a.print(struct {
				Version string `json:"version"`
			}{a.version()}, func(w io.Writer) {
				_, _ = fmt.Fprintln(w, "dandelionfield "+a.version())
			})
		}),
	}
}

func (a *app) version() string {
	if a.Version != "" {
		return a.Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// work marks errors of a command's own work as failed, so that the remaining
// errors are those of reading the command line.
func work(run func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		err := run(command, args)
		if err == nil || errorx.Cast(err) != nil {
			return err
		}
		var problems place.Problems
		if errors.As(err, &problems) {
			return err
		}
		return Failed.Wrap(err, "%s", command.Name())
	}
}

// badFile marks an error of reading a file as bad input; problems with places
// speak for themselves.
func badFile(err error) error {
	var problems place.Problems
	if errors.As(err, &problems) {
		return problems
	}
	return BadInput.New("%v", err)
}

// exitCode returns the code for an error. What carries no type comes from
// reading the command line.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, Conflict):
		return ExitConflict
	case errorx.IsOfType(err, NotInForce):
		return ExitNotInForce
	case errorx.IsOfType(err, BadInput), errorx.Cast(err) == nil:
		return ExitBadInput
	}
	return ExitFailed
}

// message returns an error without the names of its types, and problems one
// to a line.
func message(err error) string {
	var problems place.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	text := err.Error()
	if typed := errorx.Cast(err); typed != nil {
		text = strings.TrimPrefix(text, typed.Type().FullName()+": ")
	}
	return "dandelionfield: " + text
}

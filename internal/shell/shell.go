// Package shell implements the command line of dandelionfield. Its commands run a node, and
// administer a mesh through the resource API of any node.
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
	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/internal/loglim"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// Dependencies holds the dependencies of the command line, which tests replace.
	Dependencies struct {
		// RunNode runs a node. When the context ends, RunNode stops the node gracefully
		// and returns once it has stopped.
		RunNode func(ctx context.Context, node *setup.Node, log hclog.Logger) error
		// RunPlatformNode is like RunNode, for a node beside a target of the users' platform.
		RunPlatformNode func(ctx context.Context, node *setup.Node, log hclog.Logger) error
		// LintPlatform lints a desired state of the users' platform, for nodes that have
		// requestMemory bytes for requests, or 0 if that is unknown.
		LintPlatform func(document []byte, requestMemory int64) ([]schema.Finding, error)
		// Clock defaults to the system clock.
		Clock clock.Clock
		// Version defaults to the module version in the build information.
		Version string
	}

	// app holds the state of one invocation of the command line.
	app struct {
		Dependencies
		stdout io.Writer
		stderr io.Writer
		output outputFormat
		client client
	}
)

// The exit codes of the commands.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitBadInput   = 2
	ExitConflict   = 3
	ExitNotInForce = 4
	ExitWarnings   = 5
)

// logFlushTimeout is how long an exiting process waits for its remaining log lines to be
// read.
const logFlushTimeout = 200 * time.Millisecond

// tokenVariable is the environment variable that holds the operator token if --token is
// not given. The variable exists because a flag is visible in the process list.
const tokenVariable = "DANDELIONFIELD_TOKEN"

const rootHelp = `dandelionfield keeps a mesh of services answering under overload.

A node runs beside each target. Operators declare services, request kinds,
data centres, teams and limits as YAML, and apply them through any node.

Exit codes:
  0  done
  1  failed
  2  bad input: a flag, a file or a declaration is wrong
  3  conflict: another revision than the expected one is in force
  4  accepted, but not in force everywhere in time
  5  check --strict: warnings, but no errors`

var (
	namespace = errorx.NewNamespace("cli")
	// Failed means that the command could not be carried out.
	Failed = namespace.NewType("failed")
	// Refused means that the node rejected the request and would reject it again.
	Refused = Failed.NewSubtype("refused")
	// Unanswered means that it is unknown whether a change was accepted.
	Unanswered = Failed.NewSubtype("unanswered")
	// BadInput means that a flag, an argument or a file is wrong.
	BadInput = namespace.NewType("bad_input")
	// Conflict means that the revision in force is not the expected one.
	Conflict = namespace.NewType("conflict")
	// NotInForce means that some nodes did not apply the accepted revision in time.
	NotInForce = namespace.NewType("not_in_force")
	// Warned means that a strict check found no errors, but warnings.
	Warned = namespace.NewType("warned")
)

// Main runs the command line with the given arguments and returns the exit code.
func Main(args []string, stdout, stderr io.Writer, dependencies Dependencies) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if dependencies.Clock == nil {
		dependencies.Clock = clock.System{}
	}
	a := &app{Dependencies: dependencies, stdout: stdout, stderr: stderr}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, errorText(err))
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
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formatNames, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(
		a.nodeCommand(), a.platformNodeCommand(), a.checkCommand(), a.diffCommand(), a.applyCommand(), a.getCommand(),
		a.historyCommand(), a.rollbackCommand(), a.watchCommand(), a.statusCommand(), a.drainCommand(), a.explainCommand(), a.versionCommand(),
	)
	return root
}

func (a *app) nodeCommand() *cobra.Command {
	return a.newRunCommand("node", "Run the node beside a target", a.RunNode)
}

func (a *app) platformNodeCommand() *cobra.Command {
	return a.newRunCommand("side", "Run the node beside a target of the users' platform", a.RunPlatformNode)
}

// newRunCommand returns a command that loads the settings of a node and calls run with
// them.
func (a *app) newRunCommand(name, short string, run func(context.Context, *setup.Node, hclog.Logger) error) *cobra.Command {
	var config string
	command := &cobra.Command{
		Use:     name + " --config FILE",
		Short:   short,
		Long:    short + " until SIGTERM or SIGINT, which begin a planned stop:\nthe node takes no new work and ends once the calls in flight have their answers.",
		Example: "  dandelionfield " + name + " --config /etc/dandelionfield/node.yaml",
		Args:    cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			hangups := receiveHangups()
			// A node whose log nobody reads any more goes on: writes to it fail.
			signal.Ignore(syscall.SIGPIPE)
			node, err := setup.Load(config)
			if err != nil {
				return badFileError(err)
			}
			lines := loglim.NewWriter(a.stdout)
			defer lines.Close(logFlushTimeout)
			log := newLogger(node.LogLevel, lines, a.Clock)
			node.Reloads = watchSettings(command.Context(), hangups, config, log)
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
		RunE: markFailed(func(*cobra.Command, []string) error {
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

// markFailed wraps the RunE function of a command so that its untyped errors become
// Failed. Problems with positions (decode.Problems) stay untyped. Any other untyped error
// that Main receives therefore comes from parsing the command line.
func markFailed(run func(*cobra.Command, []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		err := run(command, args)
		if err == nil || errorx.Cast(err) != nil {
			return err
		}
		var problems decode.Problems
		if errors.As(err, &problems) {
			return err
		}
		return Failed.Wrap(err, "%s", command.Name())
	}
}

// badFileError converts an error from reading a file to BadInput. Problems with positions
// are returned without a prefix, as each of them names its file.
func badFileError(err error) error {
	var problems decode.Problems
	if errors.As(err, &problems) {
		return problems
	}
	return BadInput.New("%v", err)
}

// exitCode returns the exit code for an error. An untyped error holds problems of a file,
// or comes from parsing the command line, and counts as bad input.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, Conflict):
		return ExitConflict
	case errorx.IsOfType(err, NotInForce):
		return ExitNotInForce
	case errorx.IsOfType(err, Warned):
		return ExitWarnings
	case errorx.IsOfType(err, BadInput), errorx.Cast(err) == nil:
		return ExitBadInput
	}
	return ExitFailed
}

// errorText formats an error for the operator: without the names of its types, and with
// each problem on a line of its own.
func errorText(err error) string {
	var problems decode.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return "dandelionfield: " + untypedText(err)
}

// untypedText formats an error without the name of its type.
func untypedText(err error) string {
	text := err.Error()
	if typed := errorx.Cast(err); typed != nil {
		text = strings.TrimPrefix(text, typed.Type().FullName()+": ")
	}
	return text
}

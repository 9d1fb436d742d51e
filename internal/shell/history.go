package shell

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/config"
)

const (
	// maxRollbackRetries is how many times a rollback without a response is sent again.
	maxRollbackRetries = 3
	// rollbackRetryDelay is the time before each of these retries.
	rollbackRetryDelay = time.Second
)

func (a *app) historyCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "history --node IP:PORT",
		Short: "List the revisions that are kept",
		Long: `List the revisions that are kept, the latest first: when and through which node
each was accepted, and how many resources it created, changed and deleted.
The limit kept_revisions says how many stay.`,
		Example: "  dandelionfield history --node 10.0.0.7:7102",
		Args:    cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			var history admin.History
			if err := a.client.get(command.Context(), "/v1/history", &history); err != nil {
				return err
			}
			return a.print(history, func(w io.Writer) { printHistory(w, history) })
		}),
	}
	a.client.addFlags(command)
	return command
}

func (a *app) rollbackCommand() *cobra.Command {
	var options changeOptions
	command := &cobra.Command{
		Use:   "rollback REVISION --expected N --node IP:PORT",
		Short: "Make a former revision the next one",
		Long: `Make the declarations of a former revision the next revision, which gets a new
and higher number. As with apply, another operator's change since the expected
revision ends in a conflict (exit code 3) and changes nothing.`,
		Example: `  dandelionfield diff --revision 40 --node 10.0.0.7:7102
  dandelionfield rollback 40 --expected 42 --node 10.0.0.7:7102 --wait`,
		Args: cobra.ExactArgs(1),
		RunE: markFailed(func(command *cobra.Command, args []string) error {
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || number < 1 {
				return BadInput.New("the revision must be a number from `dandelionfield history`, found %q", args[0])
			}
			if options.expected < 0 {
				return BadInput.New("--expected must be the revision in force, see `dandelionfield history`")
			}
			return a.rollback(command.Context(), number, options)
		}),
	}
	a.client.addFlags(command)
	options.addFlags(command)
	command.Flags().Lookup("expected").Usage = "revision that must be in force"
	_ = command.MarkFlagRequired("expected")
	return command
}

// rollback sends the request again if the response was lost. This is safe because the same
// rollback is never accepted twice; the node then returns the result of the first request.
func (a *app) rollback(ctx context.Context, number int64, options changeOptions) error {
	applied, err := a.client.rollback(ctx, number, options.expected, options.dryRun)
	for range maxRollbackRetries {
		if !errorx.IsOfType(err, Unanswered) {
			break
		}
		select {
		case <-ctx.Done():
			return err
		case <-a.Clock.After(rollbackRetryDelay):
		}
		applied, err = a.client.rollback(ctx, number, options.expected, options.dryRun)
	}
	if err != nil {
		return err
	}
	return a.reportApplied(ctx, applied, options)
}

func addRevisionFlag(command *cobra.Command, revision *int64) {
	command.Flags().Int64Var(revision, "revision", 0, "former revision, see `dandelionfield history` (default: the one in force)")
}

func printHistory(w io.Writer, history admin.History) {
	_, _ = fmt.Fprintln(w, "REVISION\tACCEPTED\tDIGEST\tNODE\tCHANGES\tNOTE")
	for _, entry := range history.Revisions {
		accepted := time.UnixMilli(entry.AcceptedMS).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n",
			entry.Number, accepted, abbreviateDigest(entry.Digest), orNone(entry.Node), formatCounts(entry.Changes), entryNotes(entry, history.Revision))
	}
}

func formatCounts(counts *config.Counts) string {
	if counts == nil {
		return "not known"
	}
	return fmt.Sprintf("+%d ~%d -%d", counts.Created, counts.Changed, counts.Deleted)
}

// entryNotes returns the text of the NOTE column: whether the revision is in force, and
// which earlier revision it restores.
func entryNotes(entry config.Entry, inForce int64) string {
	var notes []string
	if entry.Number == inForce {
		notes = append(notes, "in force")
	}
	if entry.Restores > 0 {
		notes = append(notes, fmt.Sprintf("revision %d again", entry.Restores))
	}
	return strings.Join(notes, ", ")
}

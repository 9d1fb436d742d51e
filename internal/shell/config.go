package shell

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// applyOptions holds the flags of apply.
	applyOptions struct {
		files []string
		changeOptions
	}

	// changeOptions holds the flags that apply and rollback have in common.
	changeOptions struct {
		expected int64
		dryRun   bool
		wait     bool
		timeout  time.Duration
	}

	// comparison holds what a set changes in a revision.
	comparison struct {
		Revision int64           `json:"revision"`
		Changes  []schema.Change `json:"changes"`
	}
)

const (
	// unspecifiedRevision is the value of --expected when the flag is not given.
	unspecifiedRevision = -1
	// defaultWaitTimeout is the default of --timeout.
	defaultWaitTimeout = 10 * time.Second
	// resolvePolls is how many times the node is polled for a change whose response was
	// lost.
	resolvePolls = 15
	// pollInterval is the time between two polls of the revision or the status.
	pollInterval = 200 * time.Millisecond

	fileHelp = "directory or file with declarations; may be repeated"
)

func (a *app) diffCommand() *cobra.Command {
	var files []string
	var revision int64
	command := &cobra.Command{
		Use:   "diff [-f DIR] [--revision N] --node IP:PORT",
		Short: "Show what applying or a rollback would change",
		Long: `Show what applying the declarations would change in the revision in force. With
--revision too, compare them with that revision. With --revision alone, show
what a rollback to it would change.`,
		Example: `  dandelionfield diff -f declarations/ --node 10.0.0.7:7102
  dandelionfield diff --revision 40 --node 10.0.0.7:7102`,
		Args: cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			if len(files) == 0 && revision == 0 {
				return BadInput.New("name declarations with -f, or a former revision with --revision")
			}
			return a.diff(command.Context(), files, revision)
		}),
	}
	command.Flags().StringSliceVarP(&files, "file", "f", nil, fileHelp)
	addRevisionFlag(command, &revision)
	a.client.addFlags(command)
	return command
}

func (a *app) diff(ctx context.Context, files []string, revision int64) error {
	var after *schema.Set
	var err error
	from := revision
	if len(files) > 0 {
		after, err = schema.ParseFiles(files...)
		if err != nil {
			return badFileError(err)
		}
	} else {
		_, after, err = a.revision(ctx, revision)
		from = 0
	}
	if err != nil {
		return err
	}
	changed, err := a.compare(ctx, from, after)
	if err != nil {
		return err
	}
	return a.print(changed, func(w io.Writer) {
		printChanges(w, changed.Changes)
	})
}

// compare returns what after changes in a former revision, or in the one in force if number
// is 0.
func (a *app) compare(ctx context.Context, number int64, after *schema.Set) (*comparison, error) {
	listing, before, err := a.revision(ctx, number)
	if err != nil {
		return nil, err
	}
	return &comparison{listing.Revision, before.Diff(after)}, nil
}

// inForce fetches the revision that is in force at the node.
func (a *app) inForce(ctx context.Context) (resourceListing, *schema.Set, error) {
	return a.revision(ctx, 0)
}

// revision fetches a former revision, or the one in force if number is 0.
func (a *app) revision(ctx context.Context, number int64) (found resourceListing, set *schema.Set, err error) {
	path := "/v1/resources"
	if number != 0 {
		path = fmt.Sprintf("/v1/revisions/%d", number)
	}
	if err := a.client.get(ctx, path, &found); err != nil {
		return found, nil, err
	}
	set, err = schema.Parse("revision", []byte(found.Document))
	if err != nil {
		return found, nil, Failed.New("the node's configuration cannot be read; is its version newer than this program's? (%v)", err)
	}
	return found, set, nil
}

func (a *app) applyCommand() *cobra.Command {
	var options applyOptions
	command := &cobra.Command{
		Use:   "apply -f DIR --node IP:PORT",
		Short: "Make the declarations the next revision",
		Long: `Make the declarations the next revision. They replace the whole configuration:
a resource that is no longer declared is deleted. Without --expected the
revision that the node has now is expected; another operator's change in
between ends in a conflict (exit code 3) and changes nothing.`,
		Example: `  dandelionfield apply -f declarations/ --node 10.0.0.7:7102 --wait
  dandelionfield apply -f declarations/ --node 10.0.0.7:7102 --expected 41 --dry-run`,
		Args: cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			return a.apply(command.Context(), options)
		}),
	}
	addFileFlag(command, &options.files)
	a.client.addFlags(command)
	options.addFlags(command)
	return command
}

func (o *changeOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.Int64Var(&o.expected, "expected", unspecifiedRevision, "revision that must be in force; -1 for the one the node has now")
	flags.BoolVar(&o.dryRun, "dry-run", false, "check everything and change nothing")
	flags.BoolVar(&o.wait, "wait", false, "end when the revision is in force everywhere")
	flags.DurationVar(&o.timeout, "timeout", defaultWaitTimeout, "how long --wait waits")
}

func (a *app) apply(ctx context.Context, options applyOptions) error {
	set, err := schema.ParseFiles(options.files...)
	if err != nil {
		return badFileError(err)
	}
	// Applying a set without services would delete every service in force.
	if len(set.Services) == 0 {
		return BadInput.New("%s: no services are declared; is it the right path?", strings.Join(options.files, ", "))
	}
	if options.expected == unspecifiedRevision {
		listing, _, err := a.inForce(ctx)
		if err != nil {
			return err
		}
		options.expected = listing.Revision
	}
	applied, err := a.client.apply(ctx, set.Document(), options.expected, options.dryRun)
	if errorx.IsOfType(err, Unanswered) && !options.dryRun {
		applied, err = a.resolveLostResponse(ctx, set, options.expected, err)
	}
	if err != nil {
		return err
	}
	return a.reportApplied(ctx, applied, options.changeOptions)
}

// reportApplied prints the accepted revision, and with --wait waits until it is in force.
func (a *app) reportApplied(ctx context.Context, applied admin.Applied, options changeOptions) error {
	if applied.Superseded > 0 {
		return Conflict.New("revision %d was accepted, but revision %d has replaced it; look at it with `dandelionfield diff`, then apply again",
			applied.Revision, applied.Superseded)
	}
	if err := a.print(applied, func(w io.Writer) { printApplied(w, applied) }); err != nil {
		return err
	}
	if !options.wait || options.dryRun {
		return nil
	}
	return a.waitInForce(ctx, applied.Revision, options.timeout)
}

// resolveLostResponse finds out whether a change whose response was lost was accepted. If
// so, the node soon has a higher revision with the same declarations. If no such revision
// appears, the change may still have been accepted, so the original error is returned.
func (a *app) resolveLostResponse(ctx context.Context, declared *schema.Set, expected int64, lost error) (admin.Applied, error) {
	for range resolvePolls {
		select {
		case <-ctx.Done():
			return admin.Applied{}, lost
		case <-a.Clock.After(pollInterval):
		}
		listing, inForce, err := a.inForce(ctx)
		if err == nil && listing.Revision > expected && len(inForce.Diff(declared)) == 0 {
			return admin.Applied{Revision: listing.Revision, Digest: listing.Digest}, nil
		}
	}
	return admin.Applied{}, lost
}

func addFileFlag(command *cobra.Command, files *[]string) {
	command.Flags().StringSliceVarP(files, "file", "f", nil, fileHelp)
	_ = command.MarkFlagRequired("file")
}

func printApplied(w io.Writer, applied admin.Applied) {
	if applied.Changes != nil {
		printChanges(w, applied.Changes)
	}
	if applied.DryRun {
		_, _ = fmt.Fprintf(w, "dry run: nothing changed, revision %d stays in force\n", applied.Revision)
		return
	}
	_, _ = fmt.Fprintf(w, "revision %d accepted, digest %s\n", applied.Revision, abbreviateDigest(applied.Digest))
}

// printChanges writes one line for each changed resource and each of its changed fields.
func printChanges(w io.Writer, changes []schema.Change) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no changes")
	}
	marks := map[string]string{schema.Created: "+", schema.Changed: "~", schema.Deleted: "-"}
	for _, change := range changes {
		_, _ = fmt.Fprintf(w, "%s %s %s\n", marks[change.Action], change.Type, change.Name)
		for _, field := range change.Fields {
			if change.Action == schema.Created {
				_, _ = fmt.Fprintf(w, "    %s: %s\n", field.Key, field.After)
				continue
			}
			_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", field.Key, orNone(field.Before), orNone(field.After))
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// resourceYAML joins resources into one stream of YAML documents.
func resourceYAML(resources [][]byte) []byte {
	return bytes.Join(resources, []byte("---\n"))
}

package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// resourceListing holds the fields of the responses to GET /v1/resources and
// GET /v1/revisions/N that the commands use. The resources themselves are parsed from the
// document.
type resourceListing struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	Document string `json:"document"`
}

const (
	// watchIdleTimeout is three heartbeat periods. A connection without a line for that
	// long is treated as dead, even if the kernel reports no error.
	watchIdleTimeout = 3 * admin.DefaultHeartbeat
	// reconnectDelay is the time before a broken watch connects again.
	reconnectDelay = time.Second
)

func (a *app) getCommand() *cobra.Command {
	var revision int64
	command := &cobra.Command{
		Use:   "get [TYPE [NAME]]",
		Short: "Print the resources in force at a node, or of a former revision",
		Example: `  dandelionfield get --node 10.0.0.7:7102
  dandelionfield get --revision 40 -o yaml --node 10.0.0.7:7102
  dandelionfield get service allowances -o yaml --node 10.0.0.7:7102`,
		Args:      cobra.MaximumNArgs(2),
		ValidArgs: schema.Types(),
		RunE: markFailed(func(command *cobra.Command, args []string) error {
			return a.get(command.Context(), args, revision)
		}),
	}
	addRevisionFlag(command, &revision)
	a.client.addFlags(command)
	return command
}

func (a *app) get(ctx context.Context, args []string, revision int64) error {
	if len(args) > 0 {
		if err := checkType(args[0]); err != nil {
			return err
		}
	}
	_, set, err := a.revision(ctx, revision)
	if err != nil {
		return err
	}
	selected := []schema.Resource{}
	documents := [][]byte{}
	for _, resource := range set.Resources() {
		if len(args) > 0 && resource.Type != args[0] || len(args) > 1 && resource.Name != args[1] {
			continue
		}
		selected = append(selected, resource)
		documents = append(documents, resource.YAML())
	}
	if len(args) > 1 && len(selected) == 0 {
		return BadInput.New("no %s of the name %s; see `dandelionfield get %s`", args[0], args[1], args[0])
	}
	// YAML output has the format of declarations, so that it can be applied again.
	if a.output == outputYAML {
		_, err := a.stdout.Write(resourceYAML(documents))
		return err
	}
	return a.print(selected, func(w io.Writer) { printResources(w, selected) })
}

func checkType(name string) error {
	types := schema.Types()
	for _, known := range types {
		if known == name {
			return nil
		}
	}
	if suggestion := decode.Closest(name, types); suggestion != "" {
		return BadInput.New("no resource type %q; did you mean %s?", name, suggestion)
	}
	return BadInput.New("no resource type %q; the types are %s", name, strings.Join(types, ", "))
}

func printResources(w io.Writer, resources []schema.Resource) {
	_, _ = fmt.Fprintln(w, "TYPE\tNAME\tFIELDS")
	for _, resource := range resources {
		fields := make([]string, 0, len(resource.Fields))
		for _, field := range resource.Fields {
			if field.Key != "name" {
				fields = append(fields, field.Key+"="+field.String())
			}
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", resource.Type, resource.Name, strings.Join(fields, " "))
	}
}

func (a *app) watchCommand() *cobra.Command {
	var after int64
	var count int
	command := &cobra.Command{
		Use:   "watch --node IP:PORT",
		Short: "Print each revision as it takes effect at a node",
		Long:  "Print each revision as it takes effect at a node. A broken connection is opened\nagain, and the watch goes on after the last revision that was printed.",
		Example: `  dandelionfield watch --node 10.0.0.7:7102
  dandelionfield watch --after 41 --count 1 -o json --node 10.0.0.7:7102`,
		Args: cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			return a.watch(command.Context(), after, count)
		}),
	}
	a.client.addFlags(command)
	command.Flags().Int64Var(&after, "after", 0, "print only revisions above this one")
	command.Flags().IntVar(&count, "count", 0, "end after so many revisions; 0 for never")
	return command
}

// watch prints events until the context ends or count events have been printed. A count of
// 0 means no limit.
func (a *app) watch(ctx context.Context, after int64, count int) error {
	printed := 0
	for ctx.Err() == nil {
		done, err := a.watchOnce(ctx, &after, &printed, count)
		if done || errorx.IsOfType(err, BadInput) || errorx.IsOfType(err, Refused) {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		_, _ = fmt.Fprintf(a.stderr, "dandelionfield: connection lost, watching again after revision %d (%v)\n", after, err)
		select {
		case <-ctx.Done():
		case <-a.Clock.After(reconnectDelay):
		}
	}
	return nil
}

// watchOnce prints the events of one connection. It reports whether the watch is done,
// either because count events have been printed or because printing failed.
func (a *app) watchOnce(ctx context.Context, after *int64, printed *int, count int) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan admin.Event)
	ended := make(chan error, 1)
	go func() { ended <- a.client.stream(ctx, *after, events) }()
	for {
		select {
		case event, open := <-events:
			if !open {
				return false, <-ended
			}
			if event.Heartbeat || event.Revision <= *after {
				continue
			}
			if err := a.printEvent(event); err != nil {
				return true, err
			}
			*after = event.Revision
			*printed++
			if *printed == count {
				return true, nil
			}
		case <-a.Clock.After(watchIdleTimeout):
			return false, Failed.New("no data received from %s for %s", a.client.node, watchIdleTimeout)
		}
	}
}

// printEvent writes one event. In JSON, each event is one line.
func (a *app) printEvent(event admin.Event) error {
	if a.output == outputJSON {
		return json.NewEncoder(a.stdout).Encode(event)
	}
	if a.output == outputYAML {
		_, _ = fmt.Fprintln(a.stdout, "---")
	}
	return a.print(event, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "revision %d in force, digest %s\n", event.Revision, abbreviateDigest(event.Digest))
		if event.Document == "" {
			printChanges(w, event.Changes)
		}
	})
}

package shell

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// codesTableHeader is the header of the markdown table that explain --all prints.
const codesTableHeader = "| Code | Name | Family | HTTP status | Meaning | What the caller does |\n|---|---|---|---|---|---|\n"

func (a *app) statusCommand() *cobra.Command {
	var options statusOptions
	command := &cobra.Command{
		Use:   "status --node IP:PORT",
		Short: "Show the mesh as one node sees it",
		Long: `Show the mesh as one node sees it: what needs a person first, then the members
that lag or take no work, one line for each service, and the targets that are
ejected, silent or have stopped. It fits on a screen of 50 lines; --all lists all.
With --watch it is drawn anew each second, or where the output is not a terminal,
written as one line.`,
		Example: `  dandelionfield status --node 10.0.0.7:7102
  dandelionfield status --watch --node 10.0.0.7:7102
  dandelionfield status --all --node 10.0.0.7:7102`,
		Args: cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			if options.watch {
				return a.watchStatus(command.Context(), options, isTerminal(a.stdout))
			}
			var status admin.Status
			if err := a.client.get(command.Context(), "/v1/status", &status); err != nil {
				return err
			}
			return a.print(status, func(w io.Writer) { printStatus(w, status, options.all) })
		}),
	}
	command.Flags().BoolVar(&options.all, "all", false, "list every member and every target")
	command.Flags().BoolVar(&options.watch, "watch", false, "show it again each second")
	command.Flags().IntVar(&options.count, "count", 0, "end --watch after so many times; 0 for never")
	a.client.addFlags(command)
	return command
}

func (a *app) drainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "drain --node IP:PORT",
		Short:   "Begin a planned stop of one node",
		Long:    "Begin a planned stop of one node: the others send it no new work, the calls in\nflight end, and then the process goes.",
		Example: "  dandelionfield drain --node 10.0.0.7:7102",
		Args:    cobra.NoArgs,
		RunE: markFailed(func(command *cobra.Command, _ []string) error {
			return a.drain(command.Context())
		}),
	}
	a.client.addFlags(command)
	return command
}

func (a *app) drain(ctx context.Context) error {
	var response struct {
		State string `json:"state"`
	}
	if err := a.client.call(ctx, http.MethodPost, "/v1/drain", nil, &response); err != nil {
		return err
	}
	return a.print(response, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %s\n", a.client.node, response.State)
	})
}

func (a *app) explainCommand() *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:   "explain CODE",
		Short: "Explain a result code by number or name",
		Example: `  dandelionfield explain 204
  dandelionfield explain no_target
  dandelionfield explain --all`,
		Args: cobra.MaximumNArgs(1),
		RunE: markFailed(func(_ *cobra.Command, args []string) error {
			if all {
				return a.print(explanations(), func(w io.Writer) { printCodes(w) })
			}
			if len(args) == 0 {
				return BadInput.New("name a code, or give --all")
			}
			return a.explain(args[0])
		}),
	}
	command.Flags().BoolVar(&all, "all", false, "print all codes as a markdown table")
	return command
}

// explanation is the output of explain for one result code.
type explanation struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Family  string      `json:"family"`
	Status  int         `json:"http_status"`
	Meaning string      `json:"meaning"`
	Advice  string      `json:"advice"`
}

func (a *app) explain(text string) error {
	code, ok := result.Parse(text)
	if !ok {
		return unknownCode(text)
	}
	info, _ := code.Info()
	return a.print(explain(info), func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%d %s (%s, HTTP %d)\n%s\n%s\n", info.Code, info.Name, info.Code.Family(), info.Status, info.Meaning, info.Advice)
	})
}

func unknownCode(text string) error {
	all := result.All()
	names := make([]string, 0, len(all))
	for _, info := range all {
		names = append(names, info.Name)
	}
	if suggestion := decode.Closest(text, names); suggestion != "" {
		return BadInput.New("no code %q; did you mean %s?", text, suggestion)
	}
	return BadInput.New("no code %q; `dandelionfield explain --all` lists them", text)
}

func explanations() []explanation {
	all := result.All()
	explanations := make([]explanation, len(all))
	for i, info := range all {
		explanations[i] = explain(info)
	}
	return explanations
}

func explain(info result.Info) explanation {
	return explanation{
		Code:    info.Code,
		Name:    info.Name,
		Family:  info.Code.Family().String(),
		Status:  info.Status,
		Meaning: info.Meaning,
		Advice:  info.Advice,
	}
}

func printCodes(w io.Writer) {
	_, _ = io.WriteString(w, codesTableHeader)
	for _, info := range result.All() {
		_, _ = fmt.Fprintf(w, "| %d | `%s` | %s | %d | %s | %s |\n",
			info.Code, info.Name, info.Code.Family(), info.Status, info.Meaning, info.Advice)
	}
}

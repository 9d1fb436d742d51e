package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/admin"
	"github.com/dandelionfield/dandelionfield/internal/place"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// shortDigest is how many letters of a digest are printed for people.
const shortDigest = 12

// codesIntro stands above the table of codes.
const codesIntro = "| Code | Name | Family | HTTP status | Meaning | What the caller does |\n|---|---|---|---|---|---|\n"

func (a *app) statusCommand() *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:   "status --node IP:PORT",
		Short: "Show the mesh as one node sees it",
		Long: `Show the mesh as one node sees it: what needs a person first, then the members
that lag or take no work, and one line for each service.`,
		Example: `  dandelionfield status --node 10.0.0.7:7102
  dandelionfield status --all --node 10.0.0.7:7102`,
		Args: cobra.NoArgs,
		RunE: work(func(command *cobra.Command, _ []string) error {
			var status admin.Status
			if err := a.client.get(command.Context(), "/v1/status", &status); err != nil {
				return err
			}
			return a.print(status, func(w io.Writer) { printStatus(w, status, all) })
		}),
	}
	command.Flags().BoolVar(&all, "all", false, "list every member and every target")
	a.client.addFlags(command)
	return command
}

// printStatus writes what needs a person first, then the mesh.
func printStatus(w io.Writer, status admin.Status, all bool) {
	for _, condition := range status.Conditions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", condition.Type, yes(condition.Holds), condition.Message)
		if condition.Action != "" {
			_, _ = fmt.Fprintf(w, "\tTO DO\t%s\n", condition.Action)
		}
	}
	platform := "reachable"
	if !status.PlatformReachable {
		silence := time.Duration(status.PlatformSilentMS) * time.Millisecond
		platform = "silent for " + silence.Round(time.Second).String()
	}
	_, _ = fmt.Fprintf(w, "\nnode\t%s (%s, %s)\nincarnation\t%s\nstate\t%s\nrevision\t%d (%s)\nplatform\t%s\n",
		status.Node, status.Service, status.DataCentre, status.Incarnation, status.State, status.Revision, short(status.Digest), platform)
	_, _ = fmt.Fprintf(w, "members\t%d\n", len(status.Members))
	printMembers(w, status, all)
	printServices(w, status.Services)
	if all {
		printTargets(w, status.Services)
	}
	printCounts(w, "REFUSALS", status.Refusals)
	printCounts(w, "RETRIES", status.Retries)
}

// printMembers writes the members that lag or do not take work, or all.
func printMembers(w io.Writer, status admin.Status, all bool) {
	var rows []string
	for _, member := range status.Members {
		lags := member.Revision < status.Rollout.Revision
		if !all && !lags && member.TakesWork() {
			continue
		}
		revision := fmt.Sprint(member.Revision)
		if lags {
			revision += " (lags)"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\n", member.Name, member.Service, member.DataCentre, member.State, revision))
	}
	if len(rows) > 0 {
		_, _ = fmt.Fprintln(w, "\nMEMBER\tSERVICE\tDATA CENTRE\tSTATE\tREVISION")
		_, _ = io.WriteString(w, strings.Join(rows, ""))
	}
}

// printServices writes one line for each service: what its targets do together,
// and the highest of their floors.
func printServices(w io.Writer, services []admin.Service) {
	_, _ = fmt.Fprintln(w, "\nSERVICE\tREADY\tEJECTED\tIN FLIGHT\tQUEUED\tFLOOR")
	for _, service := range services {
		var ready, ejected, inFlight, limit, queued int
		var floor uint32
		for _, target := range service.Targets {
			ready += count(target.State == admin.StateReady)
			ejected += count(target.Ejected)
			inFlight += target.InFlight
			limit += target.Limit
			queued += target.Queued
			floor = max(floor, target.Floor)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d/%d\t%d\t%d/%d\t%d\t%d\n",
			service.Name, ready, len(service.Targets), ejected, inFlight, limit, queued, floor)
	}
}

// printTargets writes one line for each target.
func printTargets(w io.Writer, services []admin.Service) {
	_, _ = fmt.Fprintln(w, "\nTARGET\tSERVICE\tSTATE\tIN FLIGHT\tQUEUED\tFLOOR")
	for _, service := range services {
		for _, target := range service.Targets {
			state := target.State
			if target.Ejected {
				state += ", ejected"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d\t%d\n",
				target.Node, service.Name, state, target.InFlight, target.Limit, target.Queued, target.Floor)
		}
	}
}

// short cuts a digest to what is enough for telling revisions apart.
func short(digest string) string {
	return digest[:min(len(digest), shortDigest)]
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// printCounts writes the counters in one line, and nothing when all are 0.
func printCounts(w io.Writer, title string, counts []admin.Count) {
	var texts []string
	for _, count := range counts {
		if count.Count > 0 {
			texts = append(texts, fmt.Sprintf("%s %d", count.Reason, count.Count))
		}
	}
	if len(texts) > 0 {
		_, _ = fmt.Fprintf(w, "\n%s\t%s\n", title, strings.Join(texts, ", "))
	}
}

func yes(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

func (a *app) drainCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "drain --node IP:PORT",
		Short:   "Begin a planned stop of one node",
		Long:    "Begin a planned stop of one node: the others send it no new work, the calls in\nflight end, and then the process goes.",
		Example: "  dandelionfield drain --node 10.0.0.7:7102",
		Args:    cobra.NoArgs,
		RunE: work(func(command *cobra.Command, _ []string) error {
			return a.drain(command.Context())
		}),
	}
	a.client.addFlags(command)
	return command
}

func (a *app) drain(ctx context.Context) error {
	var answer struct {
		State string `json:"state"`
	}
	if err := a.client.call(ctx, http.MethodPost, "/v1/drain", nil, &answer); err != nil {
		return err
	}
	return a.print(answer, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %s\n", a.client.node, answer.State)
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
		RunE: work(func(_ *cobra.Command, args []string) error {
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

// explanation is one code as it is printed.
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
	if suggestion := place.Closest(text, names); suggestion != "" {
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
	_, _ = io.WriteString(w, codesIntro)
	for _, info := range result.All() {
		_, _ = fmt.Fprintf(w, "| %d | `%s` | %s | %d | %s | %s |\n",
			info.Code, info.Name, info.Code.Family(), info.Status, info.Meaning, info.Advice)
	}
}

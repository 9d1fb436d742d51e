package shell

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

// A status is to fit on one screen of 50 lines with 160 columns, at whatever size
// of the mesh, so that nobody has to scroll for what matters. The bounds below add
// up to that; --all lifts those of the lists.
const (
	// shortDigest is how many letters of a digest are printed for people.
	shortDigest = 12
	// maxMessage is how many letters of a message are printed.
	maxMessage = 130
	// maxMembers, maxServices and maxTargets are how many rows a list has.
	maxMembers  = 5
	maxServices = 8
	maxTargets  = 5
	// maxCounts is how many counters are printed, the highest first.
	maxCounts = 4
)

// row is one line of a list, and how much it matters.
type row struct {
	text   string
	weight int
}

// total is what the targets of a service do together.
type total struct {
	ready, ejected, stopped, inFlight, limit, queued int

	floor uint32
}

// printStatus writes what needs a person first, then the mesh.
func printStatus(w io.Writer, status admin.Status, all bool) {
	printConditions(w, status.Conditions)
	_, _ = fmt.Fprintf(w, "\nnode\t%s (%s, %s)\nincarnation\t%s\nstate\t%s\nrevision\t%d (%s)\nmembers\t%d\n",
		status.Node, status.Service, status.DataCentre, status.Incarnation, status.State, status.Revision, short(status.Digest), len(status.Members))
	printList(w, "MEMBER\tSERVICE\tDATA CENTRE\tSTATE\tREVISION\tHANDOVERS", memberRows(status, all), maxMembers, all)
	printList(w, "SERVICE\tREADY\tEJECTED\tSTOPPED\tIN FLIGHT\tQUEUED\tFLOOR\tUNOWNED KEYS", serviceRows(status.Services), maxServices, all)
	printList(w, "TARGET\tSERVICE\tSTATE\tIN FLIGHT\tQUEUED\tFLOOR", targetRows(status.Services, all), maxTargets, all)
	printCounts(w, "REFUSALS", status.Refusals)
	printCounts(w, "RETRIES", status.Retries)
}

// printConditions writes each condition on a line, and each action on one below.
func printConditions(w io.Writer, conditions []admin.Condition) {
	for _, condition := range conditions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", condition.Type, yes(condition.Holds), cut(condition.Message))
		if condition.Action == "" {
			continue
		}
		for _, action := range strings.Split(condition.Action, admin.ActionSeparator) {
			_, _ = fmt.Fprintf(w, "\tTO DO\t%s\n", cut(action))
		}
	}
}

// printList writes the rows that matter most and counts the others, or all rows
// in their order. A list without rows is left out.
func printList(w io.Writer, header string, rows []row, limit int, all bool) {
	if len(rows) == 0 {
		return
	}
	if !all {
		slices.SortStableFunc(rows, func(a, b row) int { return b.weight - a.weight })
	}
	listed := len(rows)
	if !all && listed > limit {
		listed = limit
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", header)
	for _, r := range rows[:listed] {
		_, _ = fmt.Fprintln(w, r.text)
	}
	if rest := len(rows) - listed; rest > 0 {
		_, _ = fmt.Fprintf(w, "and %d more; --all lists them\n", rest)
	}
}

// memberRows returns the members that lag, do not take work or wait with a
// handover, or all.
func memberRows(status admin.Status, all bool) []row {
	var rows []row
	for _, member := range status.Members {
		lags := member.Revision < status.Rollout.Revision
		weight := 2*count(lags) + count(!member.TakesWork()) + count(member.PendingHandovers > 0)
		if !all && weight == 0 {
			continue
		}
		revision := fmt.Sprint(member.Revision)
		if lags {
			revision += " (lags)"
		}
		text := fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d",
			member.Name, member.Service, member.DataCentre, member.State, revision, member.PendingHandovers)
		rows = append(rows, row{text, weight})
	}
	return rows
}

// serviceRows returns one row for each service: what its targets do together, and
// the highest of their floors. Services that nobody serves weigh most.
func serviceRows(services []admin.Service) []row {
	rows := make([]row, 0, len(services))
	for _, service := range services {
		t := totalOf(service)
		keys := "none"
		if service.Unowned != nil {
			keys = service.Unowned.String()
		}
		text := fmt.Sprintf("%s\t%d/%d\t%d\t%d\t%d/%d\t%d\t%d\t%s",
			service.Name, t.ready, len(service.Targets), t.ejected, t.stopped, t.inFlight, t.limit, t.queued, t.floor, keys)
		weight := 16*count(t.ready == t.stopped) + 8*count(service.Unowned != nil) + 4*count(t.stopped > 0) +
			2*count(t.floor > 0) + count(t.ready < len(service.Targets) || t.ejected > 0)
		rows = append(rows, row{text, weight})
	}
	return rows
}

func totalOf(service admin.Service) total {
	var t total
	for _, target := range service.Targets {
		t.ready += count(target.State == admin.StateReady)
		t.ejected += count(target.Ejected)
		t.stopped += count(target.StoppedMS > 0)
		t.inFlight += target.InFlight
		t.limit += target.Limit
		t.queued += target.Queued
		t.floor = max(t.floor, target.Floor)
	}
	return t
}

// targetRows returns the targets that are not ready, have stopped or are ejected,
// or all.
func targetRows(services []admin.Service, all bool) []row {
	var rows []row
	for _, service := range services {
		for _, target := range service.Targets {
			state := target.State
			if target.StoppedMS > 0 {
				state += ", stopped for " + age(target.StoppedMS)
			}
			if target.Ejected {
				state += ", ejected"
			}
			weight := 4*count(target.StoppedMS > 0) + 2*count(target.State != admin.StateReady) + count(target.Ejected)
			if !all && weight == 0 {
				continue
			}
			text := fmt.Sprintf("%s\t%s\t%s\t%d/%d\t%d\t%d",
				target.Node, service.Name, state, target.InFlight, target.Limit, target.Queued, target.Floor)
			rows = append(rows, row{text, weight})
		}
	}
	return rows
}

// printCounts writes the highest counters in one line, and nothing when all are 0.
func printCounts(w io.Writer, title string, counts []admin.Count) {
	counted := slices.DeleteFunc(slices.Clone(counts), func(c admin.Count) bool { return c.Count == 0 })
	if len(counted) == 0 {
		return
	}
	slices.SortStableFunc(counted, func(a, b admin.Count) int { return int(b.Count - a.Count) })
	var texts []string
	for _, c := range counted[:min(len(counted), maxCounts)] {
		texts = append(texts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	if rest := len(counted) - maxCounts; rest > 0 {
		texts = append(texts, fmt.Sprintf("and %d other reasons", rest))
	}
	_, _ = fmt.Fprintf(w, "\n%s\t%s\n", title, strings.Join(texts, ", "))
}

// short cuts a digest to what is enough for telling revisions apart.
func short(digest string) string {
	return digest[:min(len(digest), shortDigest)]
}

// cut shortens a message to what fits on a line. The other forms have it whole.
func cut(message string) string {
	letters := []rune(message)
	if len(letters) <= maxMessage {
		return message
	}
	return string(letters[:maxMessage-1]) + "…"
}

func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func yes(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

// age writes milliseconds for people.
func age(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

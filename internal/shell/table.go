package shell

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

// The status has to fit on one screen of 50 lines with 160 columns, whatever the size of the
// mesh, so that the most important information is visible without scrolling. The limits
// below are chosen for that; --all lifts the limits of the lists.
const (
	// digestChars is how many characters of a digest are printed in tables.
	digestChars = 12
	// maxMessageRunes is how many characters of a message are printed.
	maxMessageRunes = 130
	// maxMembers, maxServices and maxTargets limit the rows of each list.
	maxMembers  = 5
	maxServices = 8
	maxTargets  = 5
	// maxCounters is how many counters are printed, highest first.
	maxCounters = 4
)

// row is one line of a list. Rows with a higher weight are listed first.
type row struct {
	text   string
	weight int
}

// targetTotals holds the sums over the targets of a service, and the highest of their
// floors.
type targetTotals struct {
	ready, ejected, stopped, inFlight, limit, queued int

	floor uint32
}

// printStatus writes the conditions that need an operator first, then the state of the
// mesh.
func printStatus(w io.Writer, status admin.Status, all bool) {
	printConditions(w, status.Conditions)
	_, _ = fmt.Fprintf(w, "\nnode\t%s (%s, %s)\nincarnation\t%s\nstate\t%s\nrevision\t%d (%s)\nmembers\t%d\n",
		status.Node, status.Service, status.DataCentre, status.Incarnation, status.State, status.Revision, abbreviateDigest(status.Digest), len(status.Members))
	printList(w, "MEMBER\tSERVICE\tDATA CENTRE\tSTATE\tREVISION\tHANDOVERS", memberRows(status, all), maxMembers, all)
	printList(w, "SERVICE\tREADY\tEJECTED\tSTOPPED\tIN FLIGHT\tQUEUED\tFLOOR\tUNOWNED KEYS", serviceRows(status.Services), maxServices, all)
	printList(w, "TARGET\tSERVICE\tSTATE\tIN FLIGHT\tQUEUED\tFLOOR", targetRows(status.Services, all), maxTargets, all)
	printCounts(w, "REFUSALS", status.Refusals)
	printCounts(w, "RETRIES", status.Retries)
}

// printConditions writes one line for each condition, followed by one line for each action
// that the operator should take.
func printConditions(w io.Writer, conditions []admin.Condition) {
	for _, condition := range conditions {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", condition.Type, yesNo(condition.Holds), truncate(condition.Message))
		if condition.Action == "" {
			continue
		}
		for _, action := range strings.Split(condition.Action, admin.ActionSeparator) {
			_, _ = fmt.Fprintf(w, "\tTO DO\t%s\n", truncate(action))
		}
	}
}

// printList writes the rows with the highest weights and the number of the others, or with
// all set every row in its original order. It writes nothing for an empty list.
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

// memberRows returns rows for the members that lag, take no work or have pending handovers,
// or for all members.
func memberRows(status admin.Status, all bool) []row {
	var rows []row
	for _, member := range status.Members {
		lags := member.Revision < status.Rollout.Revision
		weight := 2*boolToInt(lags) + boolToInt(!member.TakesWork()) + boolToInt(member.PendingHandovers > 0)
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

// serviceRows returns one row for each service with the totals of its targets and the
// highest of their floors. Services without a working target have the highest weight.
func serviceRows(services []admin.Service) []row {
	rows := make([]row, 0, len(services))
	for _, service := range services {
		t := sumTargets(service)
		keys := "none"
		if service.Unowned != nil {
			keys = service.Unowned.String()
		}
		text := fmt.Sprintf("%s\t%d/%d\t%d\t%d\t%d/%d\t%d\t%d\t%s",
			service.Name, t.ready, len(service.Targets), t.ejected, t.stopped, t.inFlight, t.limit, t.queued, t.floor, keys)
		weight := 16*boolToInt(t.ready == t.stopped) + 8*boolToInt(service.Unowned != nil) + 4*boolToInt(t.stopped > 0) +
			2*boolToInt(t.floor > 0) + boolToInt(t.ready < len(service.Targets) || t.ejected > 0)
		rows = append(rows, row{text, weight})
	}
	return rows
}

func sumTargets(service admin.Service) targetTotals {
	var t targetTotals
	for _, target := range service.Targets {
		t.ready += boolToInt(target.State == admin.StateReady)
		t.ejected += boolToInt(target.Ejected)
		t.stopped += boolToInt(target.StoppedMS > 0)
		t.inFlight += target.InFlight
		t.limit += target.Limit
		t.queued += target.Queued
		t.floor = max(t.floor, target.Floor)
	}
	return t
}

// targetRows returns rows for the targets that are not ready, have stopped or are ejected,
// or for all targets.
func targetRows(services []admin.Service, all bool) []row {
	var rows []row
	for _, service := range services {
		for _, target := range service.Targets {
			state := target.State
			if target.StoppedMS > 0 {
				state += ", stopped for " + formatMS(target.StoppedMS)
			}
			if target.Ejected {
				state += ", ejected"
			}
			weight := 4*boolToInt(target.StoppedMS > 0) + 2*boolToInt(target.State != admin.StateReady) + boolToInt(target.Ejected)
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

// printCounts writes the highest counters on one line. It writes nothing if all are 0.
func printCounts(w io.Writer, title string, counts []admin.Count) {
	counted := slices.DeleteFunc(slices.Clone(counts), func(c admin.Count) bool { return c.Count == 0 })
	if len(counted) == 0 {
		return
	}
	slices.SortStableFunc(counted, func(a, b admin.Count) int { return int(b.Count - a.Count) })
	var texts []string
	for _, c := range counted[:min(len(counted), maxCounters)] {
		texts = append(texts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	if rest := len(counted) - maxCounters; rest > 0 {
		texts = append(texts, fmt.Sprintf("and %d other reasons", rest))
	}
	_, _ = fmt.Fprintf(w, "\n%s\t%s\n", title, strings.Join(texts, ", "))
}

// abbreviateDigest shortens a digest to a prefix that is enough to tell revisions apart.
func abbreviateDigest(digest string) string {
	return digest[:min(len(digest), digestChars)]
}

// truncate shortens a message so that it fits on a line. The JSON and YAML formats contain
// the whole message.
func truncate(message string) string {
	letters := []rune(message)
	if len(letters) <= maxMessageRunes {
		return message
	}
	return string(letters[:maxMessageRunes-1]) + "…"
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func yesNo(holds bool) string {
	if holds {
		return "yes"
	}
	return "no"
}

// formatMS formats a duration in milliseconds, rounded to seconds.
func formatMS(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

package shell

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/admin"
)

type (
	// rolloutView combines what several nodes know about the rollout of a revision.
	rolloutView struct {
		// statuses holds the statuses of the nodes that answered, that of the node named
		// by --node first.
		statuses []admin.Status
		// failures holds an error message for each data centre of which no node answered.
		failures []string
	}

	// knownMember is a member with the highest revision that any node reports for it.
	knownMember struct {
		admin.Member
		// unknownTo is the name of a node that does not know the member, or empty.
		unknownTo string
		// answered is whether any node got an answer from the member.
		answered bool
	}
)

const (
	// maxOtherNodes is how many answers are collected from nodes other than the one named by
	// --node, at most one from each data centre. These nodes may know members that the first
	// node does not.
	maxOtherNodes = 2
	// triesPerDataCentre is how many nodes of a data centre are tried until one answers.
	triesPerDataCentre = 3
	// statusTimeout limits one status request. While members are silent, a node takes up to
	// a second to answer.
	statusTimeout = 3 * time.Second
	// maxListedMembers is how many lagging members an error message names.
	maxListedMembers = 5
)

// waitInForce polls the status of several nodes until none of the members that they know
// lags behind the revision.
func (a *app) waitInForce(ctx context.Context, revision int64, timeout time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := a.Clock.After(timeout)
	for {
		view, err := a.collectStatuses(ctx)
		why := ""
		if err != nil {
			why = errorCause(err)
		} else {
			why = view.lagReason(revision)
		}
		if why == "" {
			a.printInForce(view, revision)
			return nil
		}
		select {
		case <-expired:
			return NotInForce.New("revision %d is accepted, but not in force everywhere after %s: %s; see `dandelionfield status`",
				revision, timeout, why)
		case <-ctx.Done():
			return ctx.Err()
		case <-a.Clock.After(pollInterval):
		}
	}
}

func (a *app) printInForce(view rolloutView, revision int64) {
	if a.output != outputTable {
		return
	}
	_, _ = fmt.Fprintf(a.stdout, "revision %d is in force at all %d members (nodes asked: %d)\n", revision, len(view.members()), len(view.statuses))
}

// collectStatuses asks the node named by --node for its status, and then one node in each
// data centre that this status lists, until maxOtherNodes of them have answered. The data
// centre of the first node comes last.
func (a *app) collectStatuses(ctx context.Context) (rolloutView, error) {
	var view rolloutView
	var first admin.Status
	if err := a.client.get(ctx, "/v1/status", &first); err != nil {
		return view, err
	}
	view.statuses = append(view.statuses, first)
	for _, candidates := range byDataCentre(first) {
		if len(view.statuses) > maxOtherNodes {
			break
		}
		status, err := a.firstStatus(ctx, candidates)
		if err != nil {
			view.failures = append(view.failures, errorCause(err))
			continue
		}
		view.statuses = append(view.statuses, status)
	}
	return view, nil
}

// byDataCentre groups the other members that take work by data centre. The data centre of
// the node that reported the status comes last.
func byDataCentre(status admin.Status) [][]admin.Member {
	var groups [][]admin.Member
	for _, m := range status.Members {
		if m.Name == status.Node || m.AdminAddress == "" || !m.TakesWork() {
			continue
		}
		at := slices.IndexFunc(groups, func(g []admin.Member) bool { return g[0].DataCentre == m.DataCentre })
		if at < 0 {
			groups = append(groups, []admin.Member{m})
			continue
		}
		groups[at] = append(groups[at], m)
	}
	slices.SortStableFunc(groups, func(a, b []admin.Member) int {
		return cmp.Or(
			boolToInt(a[0].DataCentre == status.DataCentre)-boolToInt(b[0].DataCentre == status.DataCentre),
			strings.Compare(a[0].DataCentre, b[0].DataCentre),
		)
	})
	return groups
}

// firstStatus returns the status of the first member that answers, or the last error.
func (a *app) firstStatus(ctx context.Context, members []admin.Member) (status admin.Status, err error) {
	for _, m := range members[:min(len(members), triesPerDataCentre)] {
		peer := a.client
		peer.node = m.AdminAddress
		status, err = peer.status(ctx)
		if err == nil {
			return status, nil
		}
	}
	return status, err
}

func (c *client) status(ctx context.Context) (status admin.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = c.get(ctx, "/v1/status", &status)
	return status, err
}

// errorCause returns the text of an error for use within another error message.
func errorCause(err error) string {
	return strings.TrimPrefix(errorText(err), "dandelionfield: ")
}

// lagReason returns what keeps the revision from being in force everywhere, as far as the
// nodes know, or an empty string if nothing does. If no known member lags, but a data
// centre did not answer and fewer than maxOtherNodes other nodes did, it returns the
// errors of the data centres without an answer, since their nodes may know members that
// lag.
func (v rolloutView) lagReason(revision int64) string {
	var texts []string
	for _, m := range v.members() {
		if m.Revision < revision {
			texts = append(texts, m.String())
		}
	}
	if len(texts) > 0 {
		rest := ""
		if len(texts) > maxListedMembers {
			rest = fmt.Sprintf(" and at %d more", len(texts)-maxListedMembers)
		}
		return "it lags at " + strings.Join(texts[:min(len(texts), maxListedMembers)], ", ") + rest
	}
	if len(v.failures) > 0 && len(v.statuses) <= maxOtherNodes {
		return "no second opinion: " + strings.Join(v.failures, ", ")
	}
	return ""
}

// members returns every member that any of the nodes knows, sorted by name and incarnation.
func (v rolloutView) members() []*knownMember {
	known := map[string]*knownMember{}
	for _, status := range v.statuses {
		self := admin.Member{Name: status.Node, Incarnation: status.Incarnation, DataCentre: status.DataCentre, State: status.State, Revision: status.Revision}
		silent := status.Silent()
		for _, m := range append([]admin.Member{self}, status.Members...) {
			id := m.Name + " " + m.Incarnation
			if known[id] == nil {
				known[id] = &knownMember{Member: m}
			}
			known[id].Revision = max(known[id].Revision, m.Revision)
			known[id].answered = known[id].answered || !slices.Contains(silent, m.Name)
		}
	}
	list := make([]*knownMember, 0, len(known))
	for _, m := range known {
		m.unknownTo = v.nodeUnawareOf(m.Member)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *knownMember) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// nodeUnawareOf returns the name of a node that does not know the member, or an empty
// string.
func (v rolloutView) nodeUnawareOf(m admin.Member) string {
	for _, status := range v.statuses {
		if status.Node != m.Name && !slices.ContainsFunc(status.Members, func(other admin.Member) bool { return other.Name == m.Name }) {
			return status.Node
		}
	}
	return ""
}

// String returns the member's name and the possible reasons why it lags.
func (m *knownMember) String() string {
	reasons := []string{m.DataCentre, m.State, fmt.Sprintf("has revision %d", m.Revision)}
	if m.Revision == 0 {
		reasons[2] = "has no revision"
	}
	if !m.answered {
		reasons = append(reasons, "does not answer")
	}
	if m.unknownTo != "" {
		reasons = append(reasons, "unknown to "+m.unknownTo)
	}
	return m.Name + " (" + strings.Join(reasons, ", ") + ")"
}

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
	// rollout is what several nodes together know of a revision.
	rollout struct {
		// views are the statuses of the nodes that were asked, the first of them
		// the one that the command line names.
		views []admin.Status
		// silent says which nodes should have been asked and gave no answer.
		silent []string
	}

	// laggard is a member, with the highest revision that any node knows it by.
	laggard struct {
		admin.Member
		// unknownTo names a node that does not know the member.
		unknownTo string
		// answers is whether some node got an answer from it.
		answers bool
	}
)

const (
	// witnesses is how many nodes beside the first one are asked, each of another
	// data centre: what one node does not know of, one elsewhere may.
	witnesses = 2
	// witnessTries is how many nodes of a data centre are asked for one answer.
	witnessTries = 3
	// witnessTimeout bounds one of these questions. A node takes up to a second
	// for its status while members are silent.
	witnessTimeout = 3 * time.Second
	// listedLaggards is how many members that lag are named.
	listedLaggards = 5
)

// waitInForce looks at the status of several nodes until no member that any of
// them knows lags behind the revision.
func (a *app) waitInForce(ctx context.Context, revision int64, timeout time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := a.Clock.After(timeout)
	for {
		r, err := a.askAround(ctx)
		why := ""
		if err != nil {
			why = cause(err)
		} else {
			why = r.why(revision)
		}
		if why == "" {
			a.printInForce(r, revision)
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

func (a *app) printInForce(r rollout, revision int64) {
	if a.output != outputTable {
		return
	}
	_, _ = fmt.Fprintf(a.stdout, "revision %d is in force at all %d members (nodes asked: %d)\n", revision, len(r.members()), len(r.views))
}

// askAround asks the node of the command line, and then one node in each of two
// data centres that it names, other ones than its own where there are any.
func (a *app) askAround(ctx context.Context) (rollout, error) {
	var r rollout
	var first admin.Status
	if err := a.client.get(ctx, "/v1/status", &first); err != nil {
		return r, err
	}
	r.views = append(r.views, first)
	for _, candidates := range byDataCentre(first) {
		if len(r.views) > witnesses {
			break
		}
		view, err := a.askOne(ctx, candidates)
		if err != nil {
			r.silent = append(r.silent, cause(err))
			continue
		}
		r.views = append(r.views, view)
	}
	return r, nil
}

// byDataCentre groups the other members that take work, the data centre of the
// asked node last.
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
			count(a[0].DataCentre == status.DataCentre)-count(b[0].DataCentre == status.DataCentre),
			strings.Compare(a[0].DataCentre, b[0].DataCentre),
		)
	})
	return groups
}

// askOne returns the status of the first of the members that answers.
func (a *app) askOne(ctx context.Context, members []admin.Member) (status admin.Status, err error) {
	for _, m := range members[:min(len(members), witnessTries)] {
		witness := a.client
		witness.node = m.AdminAddress
		status, err = witness.status(ctx)
		if err == nil {
			return status, nil
		}
	}
	return status, err
}

func (c *client) status(ctx context.Context) (status admin.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	err = c.get(ctx, "/v1/status", &status)
	return status, err
}

// cause is the message of an error as a part of another.
func cause(err error) string {
	return strings.TrimPrefix(message(err), "dandelionfield: ")
}

// why says what keeps the revision from being in force everywhere, as far as the
// nodes know; it is empty when nothing does. Fewer answers than there could be
// prove nothing: what the silent nodes know may be missing.
func (r rollout) why(revision int64) string {
	var texts []string
	for _, m := range r.members() {
		if m.Revision < revision {
			texts = append(texts, m.String())
		}
	}
	if len(texts) > 0 {
		rest := ""
		if len(texts) > listedLaggards {
			rest = fmt.Sprintf(" and at %d more", len(texts)-listedLaggards)
		}
		return "it lags at " + strings.Join(texts[:min(len(texts), listedLaggards)], ", ") + rest
	}
	if len(r.silent) > 0 && len(r.views) <= witnesses {
		return "no second opinion: " + strings.Join(r.silent, ", ")
	}
	return ""
}

// members returns every member that any of the nodes knows, by name.
func (r rollout) members() []*laggard {
	known := map[string]*laggard{}
	for _, view := range r.views {
		self := admin.Member{Name: view.Node, Incarnation: view.Incarnation, DataCentre: view.DataCentre, State: view.State, Revision: view.Revision}
		silent := view.Silent()
		for _, m := range append([]admin.Member{self}, view.Members...) {
			id := m.Name + " " + m.Incarnation
			if known[id] == nil {
				known[id] = &laggard{Member: m}
			}
			known[id].Revision = max(known[id].Revision, m.Revision)
			known[id].answers = known[id].answers || !slices.Contains(silent, m.Name)
		}
	}
	list := make([]*laggard, 0, len(known))
	for _, m := range known {
		m.unknownTo = r.ignorant(m.Member)
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *laggard) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// ignorant names a node that does not know the member.
func (r rollout) ignorant(m admin.Member) string {
	for _, view := range r.views {
		if view.Node != m.Name && !slices.ContainsFunc(view.Members, func(other admin.Member) bool { return other.Name == m.Name }) {
			return view.Node
		}
	}
	return ""
}

// String names the member and says why it may lag.
func (l *laggard) String() string {
	reasons := []string{l.DataCentre, l.State, fmt.Sprintf("has revision %d", l.Revision)}
	if l.Revision == 0 {
		reasons[2] = "has no revision"
	}
	if !l.answers {
		reasons = append(reasons, "does not answer")
	}
	if l.unknownTo != "" {
		reasons = append(reasons, "unknown to "+l.unknownTo)
	}
	return l.Name + " (" + strings.Join(reasons, ", ") + ")"
}

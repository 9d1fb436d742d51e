package metric

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// alerts is the usual format of rules.
type alerts struct {
	Groups []struct {
		Name  string
		Rules []struct {
			Alert       string
			Expr        string
			For         time.Duration
			Labels      map[string]string
			Annotations map[string]string
		}
	}
}

var (
	// describedAs finds the name and the labels in the text of a description.
	describedAs = regexp.MustCompile(`fqName: "(\w+)".*variableLabels: \{([\w,]*)\}`)
	// used finds a metric of a rule with the labels that it is selected by.
	used = regexp.MustCompile(`(dandelionfield_\w+)(?:\{([^}]*)\})?`)
	// matcher finds one selection by a label.
	matcher = regexp.MustCompile(`(\w+)(?:=~|!~|!=|=)"([^"]*)"`)
	// grouping finds the labels that a sum keeps.
	grouping = regexp.MustCompile(`by \(([\w, ]+)\)`)
)

// described returns the labels of every metric of a node.
func described() map[string][]string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		New().Registry.Describe(descriptions)
		close(descriptions)
	}()
	labels := map[string][]string{}
	for description := range descriptions {
		if found := describedAs.FindStringSubmatch(description.String()); found != nil {
			labels[found[1]] = strings.Split(found[2], ",")
		}
	}
	return labels
}

// unknown returns what an expression names that no node has.
func unknown(expression string) []string {
	known := described()
	var missing []string
	for _, metric := range used.FindAllStringSubmatch(expression, -1) {
		labels, ok := known[metric[1]]
		if !ok {
			missing = append(missing, metric[1])
		}
		wanted := matcher.FindAllStringSubmatch(metric[2], -1)
		for _, selection := range wanted {
			if !slices.Contains(labels, selection[1]) {
				missing = append(missing, metric[1]+" by "+selection[1])
			}
			missing = append(missing, unknownCodes(metric[1], selection)...)
		}
		for _, group := range grouping.FindAllStringSubmatch(expression, -1) {
			for _, label := range strings.Split(group[1], ", ") {
				if !slices.Contains(labels, label) {
					missing = append(missing, metric[1]+" by "+label)
				}
			}
		}
	}
	return missing
}

// unknownCodes returns the values of reasons and results that are no result codes.
// Repeats are also denied for reasons of their own.
func unknownCodes(metric string, selection []string) []string {
	own := map[string][]string{
		"dandelionfield_retries_denied_total": {"tokens", "deadline", "allowance", "budget"},
		"dandelionfield_refusals_total":       {Throttled},
	}
	var missing []string
	for _, value := range strings.Split(selection[2], "|") {
		_, ok := result.Parse(value)
		if metric == "dandelionfield_retries_denied_total" {
			ok = false // never one of the results
		}
		ok = ok || slices.Contains(own[metric], value)
		if !ok && (selection[1] == "reason" || selection[1] == "result") {
			missing = append(missing, value)
		}
	}
	return missing
}

// TestAlertsNameWhatThereIs reads the rules: every metric exists with its labels and
// values, and the page for operators has the same rules.
func TestAlertsNameWhatThereIs(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../examples/alerts.yaml")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	var rules alerts
	decoder := yaml.NewDecoder(strings.NewReader(string(document)))
	decoder.KnownFields(true)
	is.NoErr(decoder.Decode(&rules))
	is.Equal(len(rules.Groups), 1)
	is.True(len(rules.Groups[0].Rules) > 0)
	for _, rule := range rules.Groups[0].Rules {
		is.Equal(unknown(rule.Expr), nil)          // each metric and label exists
		is.True(used.MatchString(rule.Expr))       // a rule is about the nodes
		is.True(rule.For > 0)                      // no alert for a moment
		is.True(rule.Annotations["summary"] != "") // it says what it means
		is.True(rule.Labels["severity"] == "page" || rule.Labels["severity"] == "ticket")
		row := "| `" + rule.Alert + "` (" + rule.Labels["severity"] + ") | `" + strings.ReplaceAll(rule.Expr, "|", `\|`) + "` for "
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks the row %s", row)
		}
	}
	is.Equal(strings.Count(string(page), "| `Dandelionfield"), len(rules.Groups[0].Rules))
}

// Refusals of every kind of node tell of overload, and so do repeats that are held
// back, whatever budget they come from.
func TestAlertsCoverEveryWayOfRefusing(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../examples/alerts.yaml")
	is.NoErr(err)
	var rules alerts
	is.NoErr(yaml.Unmarshal(document, &rules))
	selected := map[string]string{}
	for _, rule := range rules.Groups[0].Rules {
		selected[rule.Alert] = rule.Expr
	}
	for _, reason := range []string{"overloaded", "evicted", "queue_expired", "door_closed", Throttled} {
		is.True(strings.Contains(selected["DandelionfieldOverload"], reason))
	}
	for _, reason := range []string{"allowance", "budget"} {
		is.True(strings.Contains(selected["DandelionfieldRetriesHeldBack"], reason))
	}
}

// TestUnknownMetricsAreFound makes the mistakes that the rules must not have.
func TestUnknownMetricsAreFound(t *testing.T) {
	is := is.New(t)
	is.Equal(unknown(`dandelionfield_revisions == 0`), []string{"dandelionfield_revisions"})
	is.Equal(unknown(`dandelionfield_refusals_total{kind="a"}`), []string{"dandelionfield_refusals_total by kind"})
	is.Equal(unknown(`dandelionfield_refusals_total{reason=~"evicted|overload"}`), []string{"overload"})
	is.Equal(unknown(`sum by (node) (dandelionfield_members)`), []string{"dandelionfield_members by node"})
}

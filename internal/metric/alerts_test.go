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

// alertRules is the Prometheus format of alerting rules.
type alertRules struct {
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
	// descriptorPattern finds the name and the labels in the text of a metric descriptor.
	descriptorPattern = regexp.MustCompile(`fqName: "(\w+)".*variableLabels: \{([\w,]*)\}`)
	// metricPattern finds a metric in an expression, with its label matchers.
	metricPattern = regexp.MustCompile(`(dandelionfield_\w+)(?:\{([^}]*)\})?`)
	// labelMatcherPattern finds one label matcher.
	labelMatcherPattern = regexp.MustCompile(`(\w+)(?:=~|!~|!=|=)"([^"]*)"`)
	// groupByPattern finds the labels of a by clause.
	groupByPattern = regexp.MustCompile(`by \(([\w, ]+)\)`)
)

// labelsByMetric returns the labels of every metric of a node.
func labelsByMetric() map[string][]string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		New().Registry.Describe(descriptions)
		close(descriptions)
	}()
	labels := map[string][]string{}
	for description := range descriptions {
		if found := descriptorPattern.FindStringSubmatch(description.String()); found != nil {
			labels[found[1]] = strings.Split(found[2], ",")
		}
	}
	return labels
}

// unknownInExpression returns the metrics, labels and label values of an expression that
// no node exports.
func unknownInExpression(expression string) []string {
	known := labelsByMetric()
	var unknown []string
	for _, metric := range metricPattern.FindAllStringSubmatch(expression, -1) {
		labels, ok := known[metric[1]]
		if !ok {
			unknown = append(unknown, metric[1])
		}
		matchers := labelMatcherPattern.FindAllStringSubmatch(metric[2], -1)
		for _, matcher := range matchers {
			if !slices.Contains(labels, matcher[1]) {
				unknown = append(unknown, metric[1]+" by "+matcher[1])
			}
			unknown = append(unknown, unknownCodes(metric[1], matcher)...)
		}
		for _, group := range groupByPattern.FindAllStringSubmatch(expression, -1) {
			for _, label := range strings.Split(group[1], ", ") {
				if !slices.Contains(labels, label) {
					unknown = append(unknown, metric[1]+" by "+label)
				}
			}
		}
	}
	return unknown
}

// unknownCodes returns the values of reason and result labels that are not result codes.
// Denied retries and refusals also have reasons of their own.
func unknownCodes(metric string, matcher []string) []string {
	extraReasons := map[string][]string{
		"dandelionfield_retries_denied_total": {"tokens", "deadline", "allowance", "budget"},
		"dandelionfield_refusals_total":       {Throttled},
	}
	var unknown []string
	for _, value := range strings.Split(matcher[2], "|") {
		_, ok := result.Parse(value)
		if metric == "dandelionfield_retries_denied_total" {
			ok = false // never one of the results
		}
		ok = ok || slices.Contains(extraReasons[metric], value)
		if !ok && (matcher[1] == "reason" || matcher[1] == "result") {
			unknown = append(unknown, value)
		}
	}
	return unknown
}

// TestAlertsUseExistingMetrics checks that every metric in the example rules exists with
// its labels and values, and that the page for operators has the same rules.
func TestAlertsUseExistingMetrics(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../examples/alerts.yaml")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	var rules alertRules
	decoder := yaml.NewDecoder(strings.NewReader(string(document)))
	decoder.KnownFields(true)
	is.NoErr(decoder.Decode(&rules))
	is.Equal(len(rules.Groups), 1)
	is.True(len(rules.Groups[0].Rules) > 0)
	for _, rule := range rules.Groups[0].Rules {
		is.Equal(unknownInExpression(rule.Expr), nil) // each metric and label exists
		is.True(metricPattern.MatchString(rule.Expr)) // a rule uses a metric of the nodes
		is.True(rule.For > 0)                         // no alert on a momentary value
		is.True(rule.Annotations["summary"] != "")    // has a description
		is.True(rule.Labels["severity"] == "page" || rule.Labels["severity"] == "ticket")
		row := "| `" + rule.Alert + "` (" + rule.Labels["severity"] + ") | `" + strings.ReplaceAll(rule.Expr, "|", `\|`) + "` for "
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/operators.md lacks the row %s", row)
		}
	}
	is.Equal(strings.Count(string(page), "| `Dandelionfield"), len(rules.Groups[0].Rules))
}

// The alerts must cover the reasons with which nodes refuse calls, whether or not their
// targets announce themselves, and denied retries, whichever budget denies them.
func TestAlertsCoverAllRefusalReasons(t *testing.T) {
	is := is.New(t)
	document, err := os.ReadFile("../../examples/alerts.yaml")
	is.NoErr(err)
	var rules alertRules
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

// TestUnknownMetricsAreReported checks that unknownInExpression finds an unknown metric,
// label or label value.
func TestUnknownMetricsAreReported(t *testing.T) {
	is := is.New(t)
	is.Equal(unknownInExpression(`dandelionfield_revisions == 0`), []string{"dandelionfield_revisions"})
	is.Equal(unknownInExpression(`dandelionfield_refusals_total{kind="a"}`), []string{"dandelionfield_refusals_total by kind"})
	is.Equal(unknownInExpression(`dandelionfield_refusals_total{reason=~"evicted|overload"}`), []string{"overload"})
	is.Equal(unknownInExpression(`sum by (node) (dandelionfield_members)`), []string{"dandelionfield_members by node"})
}

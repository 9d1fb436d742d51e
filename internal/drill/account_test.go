package drill

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// accountScript counts runs that a data file describes.
type accountScript struct {
	config   LoadConfig
	outcomes []Outcome
	done     []Executions
}

// TestAccount runs the scripts. The commands are
//
//	config      the phases and the trigger
//	outcomes    one request a line: ID KIND PHASE AT TOOK TRY..., where a try is
//	            the name of a result code, or torn, foreign, timeout; a last try
//	            of ok or replayed is a good answer. A try is sent with the
//	            request, or at T in NAME@T
//	ran         one execution a line: TARGET ATTEMPT KIND ARRIVED RUNS WORK_MS
//	report, lines, spells, moments, recovery
func TestAccount(t *testing.T) {
	datadriven.Walk(t, "testdata/account", func(t *testing.T, path string) {
		s := &accountScript{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *accountScript) run(t *testing.T, d *datadriven.TestData) string {
	is := is.New(t)
	rows := strings.Split(d.Input, "\n")
	report := Account(s.config, testMesh(), s.outcomes, s.done)
	var text strings.Builder
	switch d.Cmd {
	case "config":
		*s = accountScript{}
		is.NoErr(yaml.Unmarshal([]byte(d.Input), &s.config))
	case "outcomes":
		for _, row := range rows {
			s.outcomes = append(s.outcomes, readOutcome(is, strings.Fields(row)))
		}
	case "flow":
		s.flow(is, rows)
	case "ran":
		for _, row := range rows {
			s.ran(is, row)
		}
	case "report":
		report.Lines, report.Spells, report.Moments = nil, nil, nil
		body, err := json.MarshalIndent(report, "", "  ")
		is.NoErr(err)
		text.Write(body)
		text.WriteString("\n")
	case "recovery":
		fmt.Fprintln(&text, report.recovery())
	case "moments":
		for _, moment := range report.Moments {
			fmt.Fprintf(&text, "%.1f s: %d offered, %d good, %d attempts\n", moment.AtS, moment.Offered, moment.Good, moment.Attempts)
		}
	case "lines":
		for _, line := range report.Lines {
			fmt.Fprintf(&text, "%+v\n", line)
		}
	case "spells":
		for _, spell := range report.Spells {
			fmt.Fprintf(&text, "%s: %d answered, %d of %d, critical %d of %d, bottleneck %s\n",
				spell.Name, spell.Answered, spell.Good, spell.Offered, spell.CriticalGood, spell.CriticalOffered, spell.tightest())
			for _, service := range slices.Sorted(maps.Keys(spell.Useful)) {
				fmt.Fprintf(&text, "  %s %.2f a second\n", service, spell.Useful[service])
			}
		}
	default:
		t.Fatalf("no such command: %s", d.Cmd)
	}
	return text.String()
}

// flow makes 100 look-ups in each half second from a row "FROM GOOD GOOD ...",
// of which so many are good.
func (s *accountScript) flow(is *is.I, rows []string) {
	const each = 100
	for _, row := range rows {
		fields := strings.Fields(row)
		at, err := time.ParseDuration(fields[0])
		is.NoErr(err)
		for _, field := range fields[1:] {
			var good int
			_, err := fmt.Sscan(field, &good)
			is.NoErr(err)
			for i := range each {
				s.outcomes = append(s.outcomes, Outcome{Kind: "look", At: at + time.Duration(i)*time.Millisecond, Good: i < good})
			}
			at += 500 * time.Millisecond
		}
	}
}

func (s *accountScript) ran(is *is.I, row string) {
	var target int
	var attempt string
	var execution Execution
	_, err := fmt.Sscan(row, &target, &attempt, &execution.Kind, &execution.Arrived, &execution.Runs, &execution.WorkMS)
	is.NoErr(err)
	for len(s.done) <= target {
		s.done = append(s.done, Executions{ByRequest: map[string][]Execution{}})
	}
	list := s.done[target].ByRequest[attempt]
	s.done[target].ByRequest[attempt] = addExecution(list, execution)
}

func readOutcome(is *is.I, fields []string) Outcome {
	at, err := time.ParseDuration(fields[3])
	is.NoErr(err)
	took, err := time.ParseDuration(fields[4])
	is.NoErr(err)
	outcome := Outcome{ID: fields[0], Kind: fields[1], Phase: fields[2], At: at, Took: took}
	for _, name := range fields[5:] {
		name, sent, late := strings.Cut(name, "@")
		try := Try{Result: name, At: at, Torn: name == "torn", Foreign: name == "foreign"}
		if late {
			try.At, err = time.ParseDuration(sent)
			is.NoErr(err)
		}
		if code, ok := result.Parse(name); ok {
			info, _ := code.Info()
			try.Code, try.Status = int(code), info.Status
		}
		if try.Torn || try.Foreign {
			try.Status = statusOK
		}
		outcome.Tries = append(outcome.Tries, try)
		outcome.Good = try.good()
	}
	return outcome
}

package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestBench runs the scripts in testdata/bench over the reports in testdata/runs. The
// commands are
//
//	spread      prints the spread of the values in the input
//	runs        reads reports, one path per line
//	table, kinds, charts
//	            print the runs
func TestBench(t *testing.T) {
	datadriven.Walk(t, "testdata/bench", func(t *testing.T, path string) {
		var runs []Run[Report]
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var text strings.Builder
			switch d.Cmd {
			case "spread":
				return spreadOf(is.New(t), strings.Fields(d.Input))
			case "runs":
				runs = readTestRuns(strings.Fields(d.Input))
			case "table":
				PrintLoadTable(&text, runs)
			case "kinds":
				PrintKindTable(&text, runs)
			case "charts":
				for _, chart := range Charts(runs) {
					printChart(&text, chart)
				}
			default:
				t.Fatalf("no such command: %s", d.Cmd)
			}
			return strings.ReplaceAll(text.String(), "\n\n", "\n")
		})
	})
}

func spreadOf(is *is.I, fields []string) string {
	values := make([]float64, 0, len(fields))
	for _, field := range fields {
		value, err := strconv.ParseFloat(field, 64)
		is.NoErr(err)
		values = append(values, value)
	}
	return fmt.Sprintf("%+v\n", NewSpread(values))
}

func readTestRuns(names []string) []Run[Report] {
	const root = "testdata/runs"
	paths := make([]string, 0, len(names))
	for _, name := range names {
		paths = append(paths, filepath.Join(root, name))
	}
	return ReadRuns[Report](root, paths)
}

func printChart(text *strings.Builder, chart Chart) {
	fmt.Fprintf(text, "%s, trigger from %g to %g s\n", chart.Name, chart.TriggerFrom, chart.TriggerTo)
	printCurves(text, "offered", []Curve{chart.Offered})
	printCurves(text, "good", chart.Good)
	printCurves(text, "attempts", chart.Attempts)
}

func printCurves(text *strings.Builder, name string, curves []Curve) {
	for _, curve := range curves {
		fmt.Fprintf(text, "%s, %s:", name, curve.Name)
		for _, point := range curve.Points {
			fmt.Fprintf(text, " %gs=%g(%g..%g)", point.AtS, point.Median, point.Low, point.High)
		}
		fmt.Fprintln(text)
	}
}

// TestPictureLabels draws a chart and looks for the names of the axes and meshes in
// the text of the picture.
func TestPictureLabels(t *testing.T) {
	is := is.New(t)
	runs := readTestRuns([]string{
		"firm/slow/naive/3-1.json",
		"firm/slow/naive/4-1.json",
		"firm/slow/dandelionfield/3-1.json",
	})
	charts := Charts(runs)
	is.Equal(len(charts), 1)
	path := filepath.Join(t.TempDir(), "slow.svg")
	is.NoErr(charts[0].Save(path))
	picture, err := os.ReadFile(path)
	is.NoErr(err)
	for _, want := range []string{"firm-slow", "naive", "dandelionfield", "good answers a second"} {
		is.True(strings.Contains(string(picture), want)) // the picture lacks the label
	}
	is.True(charts[0].Save(filepath.Join(t.TempDir(), "slow.unknown")) != nil)
}

func TestNodeUsageMeanAndMax(t *testing.T) {
	is := is.New(t)
	const second = 1_000_000_000
	before := []processUsage{{processor: second, peak: 10_000_000}, {processor: 2 * second, peak: 30_000_000}}
	after := []processUsage{{processor: 2 * second, peak: 20_000_000}, {processor: 5 * second, peak: 40_000_000}}
	usage := newNodeUsage(before, after, 10*second)
	is.Equal(*usage, NodeUsage{Nodes: 2, ProcessorPercent: 20, MaxProcessorPercent: 30, MemoryMB: 40})
	is.Equal(newNodeUsage(before, nil, 10*second), nil) // a node that has ended got a value
	is.Equal(newNodeUsage(nil, after, 10*second), nil)
	is.Equal(newNodeUsage(nil, nil, 10*second), nil)
}

func TestReadProcessUsage(t *testing.T) {
	is := is.New(t)
	list, err := readUsage([]int{os.Getpid()})
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.True(list[0].peak > bytesPerMB)
	_, err = readUsage([]int{os.Getpid(), -1})
	is.True(err != nil) // the usage of a missing process was reported
	peak, found := parsePeak([]byte("Name:\tnode\nVmHWM:\t     100 kB\nThreads:\t4\n"))
	is.Equal(peak, int64(102400))
	is.True(found)
	_, found = parsePeak([]byte("Name:\tnode\nState:\tZ (zombie)\n"))
	is.True(!found)
}

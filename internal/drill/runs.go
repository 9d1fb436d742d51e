package drill

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// Run is one run of a bench: its report, or why there is none.
type Run[R any] struct {
	Label []string
	// Name tells the runs of one label apart, such as 3-1 for seed 3, run 1.
	Name    string
	Report  R
	Missing string
}

// ReadRuns reads the reports of runs. A report lies in a directory for each
// word of its label, as in cannelle/slow/naive/3-1.json, so that the label of a
// run is known when its report is missing or broken.
func ReadRuns[R any](root string, paths []string) []Run[R] {
	runs := make([]Run[R], 0, len(paths))
	for _, path := range paths {
		runs = append(runs, readRun[R](root, path))
	}
	return runs
}

// measured returns the reports of the runs that have one.
func measured[R any](runs []Run[R]) []R {
	reports := make([]R, 0, len(runs))
	for _, run := range runs {
		if run.Missing == "" {
			reports = append(reports, run.Report)
		}
	}
	return reports
}

func readRun[R any](root, path string) Run[R] {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	run := Run[R]{Label: labelOf(root, path), Name: name}
	text, err := os.ReadFile(path)
	if err != nil {
		run.Missing = "there is no report"
		return run
	}
	if err := json.Unmarshal(text, &run.Report); err != nil {
		run.Missing = "the report is broken"
	}
	return run
}

// title names the run in a sentence.
func (r Run[R]) title() string {
	return strings.Join(r.Label, " ") + " run " + r.Name
}

// labelOf returns the directories between root and the file.
func labelOf(root, path string) []string {
	inside, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		inside = filepath.Dir(path)
	}
	return strings.Split(filepath.ToSlash(inside), "/")
}

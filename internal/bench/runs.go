package bench

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// Run is one run of a benchmark: its report, or the reason why there is none.
type Run[R any] struct {
	// Label is the list of directories between the root and the report file.
	Label []string
	// Name is unique among the runs of one label, such as 3-1 for seed 3, run 1.
	Name   string
	Report R
	// Missing is the reason why there is no report, or "" when there is one.
	Missing string
}

// ReadRuns reads the reports of runs. The directories of a report below root are its
// label, as in cannelle/slow/naive/3-1.json, so that the label of a run is known even when
// its report is missing or invalid.
func ReadRuns[R any](root string, paths []string) []Run[R] {
	runs := make([]Run[R], 0, len(paths))
	for _, path := range paths {
		runs = append(runs, readRun[R](root, path))
	}
	return runs
}

// presentReports returns the reports of the runs that have one.
func presentReports[R any](runs []Run[R]) []R {
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
	run := Run[R]{Label: runLabel(root, path), Name: name}
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

// title returns the label and name of the run for use in messages.
func (r Run[R]) title() string {
	return strings.Join(r.Label, " ") + " run " + r.Name
}

// runLabel returns the directories between root and the file.
func runLabel(root, path string) []string {
	relative, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		relative = filepath.Dir(path)
	}
	return strings.Split(filepath.ToSlash(relative), "/")
}

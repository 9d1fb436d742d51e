package shell

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/decode"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	// checkOptions holds the arguments and flags of check.
	checkOptions struct {
		paths    []string
		settings []string
		// desiredState is a file for the users' platform, or empty.
		desiredState string
		strict       bool
	}

	// checkReport is what check found.
	checkReport struct {
		Problems decode.Problems  `json:"problems"`
		Warnings []schema.Finding `json:"warnings"`
		// Comparison is nil unless a node was named and there are no problems.
		Comparison *comparison `json:"comparison,omitempty"`

		summary []string
		// declared is nil if no declarations were named, or if they have problems.
		declared *schema.Set
	}
)

func (a *app) checkCommand() *cobra.Command {
	var options checkOptions
	command := &cobra.Command{
		Use:   "check [DIR|FILE...]",
		Short: "Check declarations and settings",
		Long: `Check declarations, all files together, and settings of nodes, each file by itself.
Every problem is printed with its file, line and column. Declarations without
problems are also checked for entries that never match or have no effect, and for
limits that contradict each other, which are printed as warnings. With --node,
what differs from the revision in force is shown; nothing is applied.`,
		Example: `  dandelionfield check declarations/
  dandelionfield check --settings node.yaml
  dandelionfield check declarations/ --strict --node 10.0.0.7:7102
  dandelionfield check --desired-state state.json --settings node.yaml`,
		RunE: markFailed(func(command *cobra.Command, paths []string) error {
			options.paths = paths
			if len(paths)+len(options.settings) == 0 && options.desiredState == "" {
				return BadInput.New("name a directory, a file or --settings FILE to check")
			}
			if len(paths) == 0 && a.client.node != "" {
				return BadInput.New("name a directory or a file to compare with the node")
			}
			return a.check(command.Context(), options)
		}),
	}
	command.Flags().StringSliceVar(&options.settings, "settings", nil, "settings of a node to check")
	command.Flags().StringVar(&options.desiredState, "desired-state", "", "desired state of the users' platform to check")
	command.Flags().BoolVar(&options.strict, "strict", false, "end with exit code 5 if there are warnings")
	a.client.addOptionalFlags(command)
	return command
}

func (a *app) check(ctx context.Context, options checkOptions) error {
	report, err := a.readChecked(options)
	if err != nil {
		return err
	}
	// What was found is printed even if the node does not answer.
	var unanswered error
	problems := report.Problems.Err()
	if problems == nil && a.client.node != "" {
		report.Comparison, unanswered = a.compare(ctx, 0, report.declared)
	}
	if err := a.printReport(report); err != nil {
		return err
	}
	switch {
	case problems != nil:
		return problems
	case unanswered != nil:
		return unanswered
	case options.strict && len(report.Warnings) > 0:
		return Warned.New("the strict check has %d warnings", len(report.Warnings))
	}
	return nil
}

// readChecked reads the files and collects their problems and warnings.
func (a *app) readChecked(options checkOptions) (*checkReport, error) {
	report := &checkReport{Warnings: []schema.Finding{}}
	var ofSettings []string
	var requestMemory int64
	for _, file := range options.settings {
		node, err := setup.Load(file)
		if err := collectProblems(&report.Problems, err); err != nil {
			return nil, err
		}
		if node == nil {
			continue
		}
		ofSettings = append(ofSettings, "settings of "+node.Name)
		if requestMemory == 0 || node.RequestMemory() < requestMemory {
			requestMemory = node.RequestMemory()
		}
	}
	if len(options.paths) > 0 {
		set, findings, err := schema.LintFiles(requestMemory, options.paths...)
		if err := collectProblems(&report.Problems, err); err != nil {
			return nil, err
		}
		report.declared = set
		report.Warnings = append(report.Warnings, findings...)
		report.summary = summarise(set)
	}
	report.summary = append(report.summary, ofSettings...)
	if options.desiredState == "" {
		return report, nil
	}
	findings, err := a.lintDesiredState(options.desiredState, requestMemory)
	if err != nil {
		return nil, err
	}
	report.Warnings = append(report.Warnings, findings...)
	report.summary = append(report.summary, "desired state "+options.desiredState)
	return report, nil
}

// lintDesiredState returns the findings of a file for the users' platform.
func (a *app) lintDesiredState(file string, requestMemory int64) ([]schema.Finding, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, badFileError(err)
	}
	findings, err := a.LintPlatform(document, requestMemory)
	if err != nil {
		return nil, BadInput.New("%s: %s", file, untypedText(err))
	}
	for i := range findings {
		findings[i].File = file
	}
	return findings, nil
}

// summarise returns what a set declares, or nil if there is no set.
func summarise(set *schema.Set) []string {
	if set == nil {
		return nil
	}
	summary := []string{fmt.Sprintf("%d services, %d request kinds, %d data centres",
		len(set.Services), len(set.Kinds), len(set.DataCentres))}
	if len(set.Teams) > 0 {
		summary = append(summary, fmt.Sprintf("%d teams", len(set.Teams)))
	}
	return summary
}

// printReport prints warnings like problems to the standard error, so that the standard output
// of a check with problems stays empty.
func (a *app) printReport(report *checkReport) error {
	if a.output != outputTable {
		return a.print(report, nil)
	}
	for _, warning := range report.Warnings {
		_, _ = fmt.Fprintln(a.stderr, warning)
	}
	if len(report.Problems) > 0 {
		return nil
	}
	if len(report.Warnings) > 0 {
		report.summary = append(report.summary, fmt.Sprintf("%d warnings", len(report.Warnings)))
	}
	_, _ = fmt.Fprintln(a.stdout, "ok: "+strings.Join(report.summary, ", "))
	if report.Comparison != nil {
		_, _ = fmt.Fprintf(a.stdout, "compared with revision %d:\n", report.Comparison.Revision)
		printChanges(a.stdout, report.Comparison.Changes)
	}
	return nil
}

// collectProblems appends the problems that err holds to collected, and returns any other
// error.
func collectProblems(collected *decode.Problems, err error) error {
	var problems decode.Problems
	if errors.As(err, &problems) {
		*collected = append(*collected, problems...)
		return nil
	}
	if err != nil {
		return badFileError(err)
	}
	return nil
}

package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

func loadCommand() *cobra.Command {
	var path, record, replay string
	var processes []int
	var asJSON, strict bool
	command := &cobra.Command{
		Use:   "load",
		Short: "Send a trace of whole requests and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var config LoadConfig
			if err := ReadYAML(path, &config); err != nil {
				return err
			}
			arrivals, err := loadTrace(config, record, replay)
			if err != nil {
				return err
			}
			report, err := runLoad(command.Context(), config, arrivals, processes)
			if err != nil {
				return err
			}
			// The report of an incomplete run must not end up in a table with complete ones.
			if asJSON && command.Context().Err() != nil {
				return badTraceError.New("stopped before the end of the trace")
			}
			if asJSON {
				err = json.NewEncoder(os.Stdout).Encode(report)
			} else {
				report.Print(os.Stdout)
			}
			if strict && len(report.Missed) > 0 {
				return badTraceError.New("the run missed %d expectations of its trace", len(report.Missed))
			}
			return err
		},
	}
	addConfigFlag(command, &path)
	command.Flags().IntSliceVar(&processes, "process", nil, "process ids of the nodes, whose processor time and memory are reported")
	command.Flags().StringVar(&record, "record", "", "file to keep the trace in")
	command.Flags().StringVar(&replay, "replay", "", "file with a kept trace to send")
	command.Flags().BoolVar(&strict, "strict", false, "fail when the run misses a stated outcome of its trace")
	command.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
}

func addedCommand() *cobra.Command {
	added := &AddedLatency{Clock: clock.System{}}
	var asJSON bool
	command := &cobra.Command{
		Use:   "added",
		Short: "Measure the time that the mesh adds to a call",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := added.Run(command.Context())
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(report)
			}
			report.Print(os.Stdout)
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&added.Entry, "entry", "", "IP:PORT of the node that relays")
	flags.StringVar(&added.Target, "target", "", "IP:PORT of the target that is called directly")
	flags.StringVar(&added.Path, "path", "", "declared path of a GET kind")
	flags.IntVar(&added.Pairs, "pairs", 2000, "pairs of calls")
	flags.IntVar(&added.Workers, "workers", 4, "pairs under way at once")
	flags.DurationVar(&added.Pause, "gap", 5*time.Millisecond, "pause of a worker between pairs")
	flags.IntSliceVar(&added.Processes, "process", nil, "process ids whose processor time is counted")
	flags.BoolVar(&asJSON, "json", false, "print the report as JSON")
	for _, name := range []string{"entry", "target", "path"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}

func tableCommand() *cobra.Command {
	var root string
	var added, kinds bool
	command := &cobra.Command{
		Use:   "table REPORT...",
		Short: "Print the reports of runs as one table in markdown",
		Long: "Print the reports of load as one table in markdown: for each label the median\n" +
			"over its runs, with the lowest and the highest. A report's directories below the\n" +
			"root are its label; one that is missing is counted and named.",
		Args: cobra.MinimumNArgs(1),
		Run: func(command *cobra.Command, paths []string) {
			out := command.OutOrStdout()
			switch {
			case added:
				PrintAddedLatencyTable(out, ReadRuns[AddedLatencyReport](root, paths))
			case kinds:
				PrintKindTable(out, ReadRuns[Report](root, paths))
			default:
				PrintLoadTable(out, ReadRuns[Report](root, paths))
			}
		},
	}
	addRootFlag(command, &root)
	command.Flags().BoolVar(&added, "added", false, "the reports are of added, not of load")
	command.Flags().BoolVar(&kinds, "kinds", false, "print the goodput of each kind during the trigger instead")
	return command
}

func reportCommand() *cobra.Command {
	var root, out, format string
	command := &cobra.Command{
		Use:   "report REPORT...",
		Short: "Draw goodput and attempts of runs over time",
		Long: "Draw good answers and attempts a second over the time of each trace, the meshes in\n" +
			"one picture: the last directory of a report's label is its mesh. A line is the\n" +
			"median over the runs, the band around it goes from the lowest to the highest.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			runs := ReadRuns[Report](root, paths)
			if err := os.MkdirAll(out, 0o755); err != nil {
				return badFileError.Wrap(err, "create picture directory")
			}
			for _, chart := range Charts(runs) {
				path := filepath.Join(out, chart.Name+"."+format)
				if err := chart.Save(path); err != nil {
					return err
				}
				command.Println(path)
			}
			printMissing(command.ErrOrStderr(), runs)
			return nil
		},
	}
	command.SetOut(os.Stdout)
	addRootFlag(command, &root)
	command.Flags().StringVar(&out, "out", "", "directory for the pictures")
	command.Flags().StringVar(&format, "format", "svg", "svg or png")
	_ = command.MarkFlagRequired("out")
	return command
}

func addRootFlag(command *cobra.Command, root *string) {
	command.Flags().StringVar(root, "root", ".", "directory that holds the directories of the labels")
}

func loadTrace(config LoadConfig, record, replay string) ([]Arrival, error) {
	if replay != "" {
		return ReadTrace(replay)
	}
	arrivals := NewTrace(config)
	if record == "" {
		return arrivals, nil
	}
	return arrivals, WriteTrace(record, arrivals)
}

func runLoad(ctx context.Context, config LoadConfig, arrivals []Arrival, processes []int) (Report, error) {
	mesh, err := schema.ParseDir(config.Mesh)
	if err != nil {
		return Report{}, err
	}
	load, err := NewLoad(config, mesh, clock.System{})
	if err != nil {
		return Report{}, err
	}
	load.Live = os.Stderr
	load.Processes = processes
	return load.Run(ctx, arrivals), nil
}

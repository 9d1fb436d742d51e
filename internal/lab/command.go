package lab

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionfield/dandelionfield/internal/clock"
)

// stopTimeout bounds how long a stand-in finishes its calls when it is stopped.
const stopTimeout = 2 * time.Second

// Command returns the command line of fieldlab.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "fieldlab",
		Short:         "Stand-ins, load and replay for trying dandelionfield",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(targetCommand(), naiveCommand(), layoutCommand(), loadCommand())
	return root
}

// Main runs the command line until it ends or is interrupted, and returns the
// exit code of the process.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := Command()
	if err := command.ExecuteContext(ctx); err != nil {
		command.PrintErrln("fieldlab:", err)
		return 1
	}
	return 0
}

func targetCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "target",
		Short: "Stand in for one target",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var config TargetConfig
			if err := ReadYAML(path, &config); err != nil {
				return err
			}
			target := NewTarget(config, clock.System{})
			return serve(command.Context(), config.Listen, target.Server())
		},
	}
	addConfigFlag(command, &path)
	return command
}

func naiveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "naive",
		Short: "Relay calls the naive way, for comparison",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var config NaiveConfig
			if err := ReadYAML(path, &config); err != nil {
				return err
			}
			mesh, err := ReadMesh(config.Mesh)
			if err != nil {
				return err
			}
			return serve(command.Context(), config.Listen, &http.Server{Handler: NewNaive(config).Handler(mesh)})
		},
	}
	addConfigFlag(command, &path)
	return command
}

func layoutCommand() *cobra.Command {
	var firm, out string
	var seed uint64
	command := &cobra.Command{
		Use:   "layout",
		Short: "Write the settings of every process of a firm",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			layout, mesh, err := ReadLayout(firm)
			if err != nil {
				return err
			}
			if command.Flags().Changed("seed") {
				layout.Seed = seed
			}
			meshDir, err := filepath.Abs(filepath.Join(firm, "mesh"))
			if err != nil {
				return err
			}
			if err := layout.Write(mesh, meshDir, out); err != nil {
				return err
			}
			command.Println("platform", layout.PlatformAddress())
			return nil
		},
	}
	command.SetOut(os.Stdout)
	command.Flags().StringVar(&firm, "firm", "", "directory with layout.yaml and mesh/")
	command.Flags().StringVar(&out, "out", "", "directory to write to")
	command.Flags().Uint64Var(&seed, "seed", 0, "seed in place of the layout's")
	_ = command.MarkFlagRequired("firm")
	_ = command.MarkFlagRequired("out")
	return command
}

func loadCommand() *cobra.Command {
	var path, record, replay string
	var asJSON bool
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
			report, err := runLoad(command.Context(), config, arrivals)
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
	addConfigFlag(command, &path)
	command.Flags().StringVar(&record, "record", "", "file to keep the trace in")
	command.Flags().StringVar(&replay, "replay", "", "file with a kept trace to send")
	command.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
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

func runLoad(ctx context.Context, config LoadConfig, arrivals []Arrival) (Report, error) {
	mesh, err := ReadMesh(config.Mesh)
	if err != nil {
		return Report{}, err
	}
	load, err := NewLoad(config, mesh, clock.System{})
	if err != nil {
		return Report{}, err
	}
	load.Live = os.Stderr
	return load.Run(ctx, arrivals), nil
}

func addConfigFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "config", "", "settings file")
	_ = command.MarkFlagRequired("config")
}

// serve serves until the context ends, then lets calls finish for a moment.
func serve(ctx context.Context, address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}

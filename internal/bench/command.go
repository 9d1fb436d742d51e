package bench

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// stopTimeout is how long a stand-in that is stopped waits for its calls in flight.
const stopTimeout = 2 * time.Second

// Command returns the root command of fieldlab.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "fieldlab",
		Short:         "Stand-ins, load and replay for trying dandelionfield",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), targetCommand(), naiveCommand(), wireCommand(), layoutCommand(),
		loadCommand(), addedCommand(), tableCommand(), reportCommand())
	return root
}

// Main runs the command line until it ends or the process is interrupted, and returns
// the exit code of the process.
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

func platformCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Stand in for the platform's table and object store, in memory",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, &http.Server{Handler: NewPlatform(plat.NewMemory())})
		},
	}
	command.Flags().StringVar(&listen, "listen", "", "IP:PORT to listen on")
	_ = command.MarkFlagRequired("listen")
	return command
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
			group, ctx := errgroup.WithContext(command.Context())
			group.Go(func() error { return serve(ctx, config.Listen, target.Server()) })
			if config.ControlListen != "" {
				group.Go(func() error { return serve(ctx, config.ControlListen, &http.Server{Handler: target.Control()}) })
			}
			return group.Wait()
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
			mesh, err := schema.ParseDir(config.Mesh)
			if err != nil {
				return err
			}
			return serve(command.Context(), config.Listen, &http.Server{Handler: NewNaiveRelay(config).Handler(mesh)})
		},
	}
	addConfigFlag(command, &path)
	return command
}

func wireCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "wire",
		Short: "Forward connections to one address, and go silent when told to",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var config WireConfig
			if err := ReadYAML(path, &config); err != nil {
				return err
			}
			wire := NewWire(config)
			group, ctx := errgroup.WithContext(command.Context())
			group.Go(func() error { return wire.Serve(ctx) })
			group.Go(func() error { return serve(ctx, config.ControlListen, &http.Server{Handler: wire.Handler()}) })
			return group.Wait()
		},
	}
	addConfigFlag(command, &path)
	return command
}

func layoutCommand() *cobra.Command {
	var firm, out, network string
	var wires []string
	var seed uint64
	var fixed time.Duration
	var allWires bool
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
			if network != "" {
				layout.Network = network
			}
			if fixed > 0 {
				layout.FixServiceTime(fixed)
			}
			layout.Wires = append(layout.Wires, wires...)
			layout.AllWires = layout.AllWires || allWires
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
	command.Flags().StringVar(&network, "network", "", "first three parts of the hosts' addresses in place of the layout's")
	command.Flags().DurationVar(&fixed, "fixed-time", 0, "one service time for all stand-ins")
	command.Flags().StringSliceVar(&wires, "wire", nil, "hosts whose node other nodes reach through a wire")
	command.Flags().BoolVar(&allWires, "all-wires", false, "wires before all nodes, and between each region and the platform")
	_ = command.MarkFlagRequired("firm")
	_ = command.MarkFlagRequired("out")
	return command
}

func addConfigFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "config", "", "settings file")
	_ = command.MarkFlagRequired("config")
}

// serve serves until the context ends, and then waits up to stopTimeout for calls in
// flight.
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

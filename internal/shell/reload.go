package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// receiveHangups returns a channel on which SIGHUP arrives from now until the process has
// ended. The signal is never given back to its default action, which would end a node that
// is starting or draining.
func receiveHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reads the settings file again on each hangup and sends the result to the
// returned channel. If the file is invalid, it logs the problems with their positions and
// sends nothing. Once the context has ended, the node drains, and hangups are only logged.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, file string, log hclog.Logger) <-chan *setup.Node {
	reloaded := make(chan *setup.Node)
	go func() {
		for range hangups {
			if ctx.Err() != nil {
				log.Info("settings_not_reloaded", "file", file)
				continue
			}
			node, err := setup.Load(file)
			if err != nil {
				log.Error("settings_refused", "file", file, "error", err)
				continue
			}
			select {
			case reloaded <- node:
			case <-ctx.Done():
			}
		}
	}()
	return reloaded
}

package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// watchSettings reads the settings file again on each SIGHUP and sends the result to the
// returned channel. If the file is invalid, it logs the problems with their positions and
// sends nothing.
func watchSettings(ctx context.Context, file string, log hclog.Logger) <-chan *setup.Node {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	reloaded := make(chan *setup.Node)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			node, err := setup.Load(file)
			if err != nil {
				log.Error("settings_refused", "file", file, "error", err)
				continue
			}
			select {
			case reloaded <- node:
			case <-ctx.Done():
				return
			}
		}
	}()
	return reloaded
}

package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/setup"
)

// reloads reads the settings again on each SIGHUP. A file with problems is logged
// with their places and changes nothing.
func reloads(ctx context.Context, file string, log hclog.Logger) <-chan *setup.Node {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	read := make(chan *setup.Node)
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
			case read <- node:
			case <-ctx.Done():
				return
			}
		}
	}()
	return read
}

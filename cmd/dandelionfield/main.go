// Command dandelionfield runs a node beside a target and drives a mesh of them.
package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionfield/dandelionfield/internal/cli"
	"github.com/dandelionfield/dandelionfield/internal/setup"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr, cli.Seams{RunNode: runNode}))
}

// runNode runs the node with these settings until the context ends.
func runNode(_ context.Context, _ *setup.Node, _ hclog.Logger) error {
	return cli.Failed.New("this build has no node")
}

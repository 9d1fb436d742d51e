// Command dandelionfield runs the node beside a target and administers a mesh of nodes.
package main

import (
	"os"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/internal/node"
	"github.com/dandelionfield/dandelionfield/internal/shell"
	"github.com/dandelionfield/dandelionfield/platform"
)

func main() {
	// Each call generates several UUIDs; the pool serves many of them from one read of the
	// system's random source.
	uuid.EnableRandPool()
	os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Dependencies{RunNode: node.Run, RunPlatformNode: platform.Run, LintPlatform: platform.Lint}))
}

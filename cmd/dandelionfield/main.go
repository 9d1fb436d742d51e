// Command dandelionfield runs a node beside a target and drives a mesh of them.
package main

import (
	"os"

	"github.com/google/uuid"

	"github.com/dandelionfield/dandelionfield/internal/node"
	"github.com/dandelionfield/dandelionfield/internal/shell"
	"github.com/dandelionfield/dandelionfield/platform"
)

func main() {
	// Each call draws several ids; one read of the system's random numbers serves many.
	uuid.EnableRandPool()
	os.Exit(shell.Main(os.Args[1:], os.Stdout, os.Stderr, shell.Seams{RunNode: node.Run, RunSide: platform.Run}))
}

// Command fieldlab holds stand-ins, load and replay for trying dandelionfield.
package main

import (
	"os"

	"github.com/dandelionfield/dandelionfield/internal/drill"
)

func main() {
	os.Exit(drill.Main())
}

// Command fieldlab holds stand-ins, load and replay for trying dandelionfield.
package main

import (
	"os"

	"github.com/dandelionfield/dandelionfield/internal/lab"
)

func main() {
	os.Exit(lab.Main())
}

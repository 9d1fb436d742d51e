// Command fieldlab provides test servers, a load generator and trace replay for testing
// dandelionfield.
package main

import (
	"os"

	"github.com/dandelionfield/dandelionfield/internal/bench"
)

func main() {
	os.Exit(bench.Main())
}

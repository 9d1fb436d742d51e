// Command fieldlab holds stand-ins, load and replay for trying dandelionfield.
package main

import "os"

func main() {
	os.Exit(0)
}

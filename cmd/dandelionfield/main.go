// Command dandelionfield runs a node beside a target and drives a mesh of them.
package main

import "os"

func main() {
	os.Exit(0)
}

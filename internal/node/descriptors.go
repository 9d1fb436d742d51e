package node

import "syscall"

const (
	// callerDescriptorDivisor divides the process's limit on file descriptors into what
	// connections of callers may take. The rest is left for connections to the target and to
	// other nodes, and for control.
	callerDescriptorDivisor = 2
	// maxCallers limits the connections of callers where the system permits more.
	maxCallers = 1 << 16
)

// maxCallerConns returns how many connections of callers may be open. The runtime has raised
// the process's limit to the highest that the system permits.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxCallers
	}
	return int(min(limit.Cur/callerDescriptorDivisor, maxCallers))
}

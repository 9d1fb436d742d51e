// Package proof contains end-to-end fault-injection tests that run real processes.
//
// Each file in testdata/*.txt is one trial: it starts a small mesh on loopback addresses,
// replays a recorded trace, injects faults by signals and fault switches, and checks the
// guarantees at the end. Only the tests run the trials; the package itself has no code.
package proof

// Package proof holds the trials that prove the promises on real processes.
//
// Each file in testdata/*.txt is one trial: it starts a small mesh on loopback,
// sends a kept trace, causes failures by signals and switches, and states what
// must hold at the end. The tests run them; the package itself has no code.
package proof

// Package bench is a test bench for a mesh on one host: stand-ins for targets and the
// platform, a naive relay as the baseline, and a load generator that checks every answer
// and counts what the targets ran.
//
// A layout file declares the hosts of a firm, the owner of one mesh. Layout.Write turns
// it into the settings of every process. Every host has its own address in 127.0.0.0/8.
//
// A benchmark has these steps: NewTrace draws the arrivals, Load sends them and checks
// the answers, Account compares the callers' outcomes with what the targets ran, and
// ReadRuns reads the Report of each run for tables and Charts.
package bench

import "strings"

// The HTTP headers that stand-ins and the load generator read and send.
const (
	// RequestHeader identifies one attempt of a caller's request, in the form
	// "<request>.<attempt>". Stand-ins copy it to the calls that they make.
	RequestHeader  = "Fieldlab-Request"
	contextHeader  = "Dandelion-Context"
	timeLeftHeader = "Dandelion-Time-Left"
	codeHeader     = "Dandelion-Code"
	resultHeader   = "Dandelion-Result"
	keyHeader      = "Idempotency-Key"
	freshHeader    = "Dandelion-Key-Fresh"
)

// unnamedRequest replaces the ID of a request that has none.
const unnamedRequest = "unnamed"

// requestID returns the part of an attempt ID that identifies the request: "7-12" for
// "7-12.2".
func requestID(attempt string) string {
	base, _, _ := strings.Cut(attempt, ".")
	return base
}

// fillPath replaces every variable of a path with the request's ID, so that
// "/stock/{item}" becomes "/stock/7-12". A request from another tool has no ID and gets
// "unnamed".
func fillPath(path, request string) string {
	if request == "" {
		request = unnamedRequest
	}
	parts := strings.Split(path, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, "{") {
			parts[i] = request
		}
	}
	return strings.Join(parts, "/")
}

// Package drill holds what is needed to try a mesh on one host: stand-ins for
// targets, a naive relay to compare with, and a load tool that checks every
// answer and counts what ran.
//
// A layout file says which hosts a firm has; Write turns it into the settings
// of every process. Every host has its own address in 127.0.0.0/8.
//
// A bench goes this way: NewTrace draws the arrivals, Load sends them and checks
// the answers, Account counts callers' outcomes against what targets ran, and
// the Report of each run is read by ReadRuns into tables and Charts.
package drill

import "strings"

// The headers that the lab reads and sends.
const (
	// RequestHeader names the attempt of a whole request, as "<request>.<attempt>".
	// Stand-ins copy it to the calls that they make.
	RequestHeader  = "Fieldlab-Request"
	contextHeader  = "Dandelion-Context"
	timeLeftHeader = "Dandelion-Time-Left"
	codeHeader     = "Dandelion-Code"
	resultHeader   = "Dandelion-Result"
	keyHeader      = "Idempotency-Key"
	freshHeader    = "Dandelion-Key-Fresh"
)

// unnamed stands in for the name of a request that has none.
const unnamed = "unnamed"

// baseRequest cuts the attempt from the value of RequestHeader, so that
// "7-12.2" becomes "7-12".
func baseRequest(attempt string) string {
	base, _, _ := strings.Cut(attempt, ".")
	return base
}

// fillPath puts the request's name in place of every variable of a path, so
// that "/stock/{item}" becomes "/stock/7-12". A request without a name, from
// another tool than the lab's, asks for "unnamed".
func fillPath(path, request string) string {
	if request == "" {
		request = unnamed
	}
	parts := strings.Split(path, "/")
	for i, part := range parts {
		if strings.HasPrefix(part, "{") {
			parts[i] = request
		}
	}
	return strings.Join(parts, "/")
}

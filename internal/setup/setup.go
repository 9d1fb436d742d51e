// Package setup reads the settings of one node from its YAML file.
package setup

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/decode"
)

// Node holds the settings of one node process. Addresses are IP:port.
type Node struct {
	// Name is unique in the mesh. A new incarnation of a node keeps the name.
	Name       string
	DataCentre string
	Region     string
	// Service is the declared service of the target beside the node.
	Service string
	// CallerListen accepts requests of callers and of the target itself.
	CallerListen string
	// RelayListen accepts calls of other nodes.
	RelayListen string
	// RelayAddress is where other nodes reach RelayListen. It is announced to them, and
	// differs from RelayListen on a host behind address translation.
	RelayAddress string
	// RelayFrom is the source IP address of calls to other nodes. If empty, the system
	// chooses the address.
	RelayFrom string
	// ReadyListen serves the readiness endpoint, and ControlListen accepts the heartbeats
	// of the target beside the node. Each is disabled if empty.
	ReadyListen   string
	ControlListen string
	// AdminListen serves the resource API and the metrics.
	AdminListen     string
	TargetAddress   string
	PlatformAddress string
	// OperatorToken authenticates operators to the resource API. If empty, the API
	// accepts every request.
	OperatorToken string
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// DrainTimeout is how long a planned stop waits for calls in flight.
	DrainTimeout time.Duration
	// RetryShare is the maximum share that retries may add to the calls of a service
	// whose declaration sets none. 0 selects the declaration's default.
	RetryShare float64
	// RetryWindow and RetrySlack turn RetryShare into a budget that all nodes share: in
	// any window, the retries that reach a service stay below its share of the requests
	// plus the slack. 0 selects a separate budget for each node.
	RetryWindow time.Duration
	RetrySlack  int
	// MemoryBytes bounds what the node holds for calls and records together.
	MemoryBytes int64
	// StrictRevoke makes the node refuse requests with a key while it cannot show that its
	// configuration was the newest within Revoke, the time after which a key that was
	// taken away must have no effect.
	StrictRevoke bool
	Revoke       time.Duration
	// Reloads delivers the new settings each time the file is read again. It is nil if
	// the file is read only once, and is no key of the file.
	Reloads <-chan *Node
}

// logLevel is the index of a level in logLevels.
type logLevel uint8

// The bounds and defaults of the settings.
const (
	minTokenLength  = "16"
	maxDrainTimeout = time.Hour
	minRetryWindow  = time.Second
	maxRetrySlack   = 1_000_000
	// minMemoryBytes and defaultMemoryBytes follow from 121 calls/s with answers of 512
	// bytes, one in ten with a key (see docs/CAPACITY.md). The default holds all records
	// within 64 MB a node. The minimum refuses no call, but drops answers before the end
	// of their retention.
	minMemoryBytes     = 16 << 20
	defaultMemoryBytes = 36 << 20
	maxMemoryBytes     = 1 << 40
	// Requests and answers of callers and other nodes may together take one part in
	// requestMemoryDivisor of a node's memory.
	requestMemoryDivisor = 2
	defaultDrainTimeout  = 30 * time.Second
	// minRevoke leaves a node time for the three requests to the platform that it makes
	// within Revoke.
	minRevoke       = time.Second
	maxRevoke       = time.Hour
	defaultRevoke   = 5 * time.Second
	defaultLogLevel = "info"
	nameFormat      = "a name of at most 63 lower-case letters, digits, _, - and ."
)

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9_.-]{0,62}$`)
	tokenPattern = regexp.MustCompile(`^[!-~]{` + minTokenLength + `,256}$`)
	// anyPort matches an address whose port the system chooses.
	anyPort   = regexp.MustCompile(`:0$`)
	logLevels = []string{"trace", "debug", "info", "warn", "error"}
)

// Load reads the settings from a file. Unless the file cannot be read, the error is a
// decode.Problems that lists all problems with their lines and columns.
func Load(file string) (*Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse reads the settings from the content of a file.
func Parse(file string, data []byte) (*Node, error) {
	reader := &decode.Reader{File: file}
	documents := reader.Documents(data)
	if len(reader.Problems) == 0 && len(documents) != 1 {
		reader.Problems = append(reader.Problems, decode.Problem{File: file, Expected: "one YAML document"})
	}
	if err := reader.Problems.Err(); err != nil {
		return nil, err
	}
	node := &Node{
		LogLevel:     defaultLogLevel,
		DrainTimeout: defaultDrainTimeout,
		MemoryBytes:  defaultMemoryBytes,
	}
	object := reader.Object(documents[0], node.fields())
	checkListen(reader, object)
	if err := reader.Problems.Err(); err != nil {
		return nil, err
	}
	if node.StrictRevoke && node.Revoke == 0 {
		node.Revoke = defaultRevoke
	}
	if node.RelayAddress == "" {
		node.RelayAddress = node.RelayListen
	}
	return node, nil
}

// RequestMemory returns how many bytes requests and answers of callers and other nodes may
// hold together.
func (n *Node) RequestMemory() int64 {
	return n.MemoryBytes / requestMemoryDivisor
}

// fields describes the keys of the file.
func (n *Node) fields() []decode.Field {
	return []decode.Field{
		{Key: "name", Required: true, Read: name(&n.Name)},
		{Key: "data_centre", Required: true, Read: name(&n.DataCentre)},
		{Key: "region", Required: true, Read: name(&n.Region)},
		{Key: "service", Required: true, Read: name(&n.Service)},
		{Key: "caller_listen", Required: true, Read: decode.Listen(&n.CallerListen)},
		{Key: "relay_listen", Required: true, Read: decode.Listen(&n.RelayListen)},
		{Key: "admin_listen", Required: true, Read: decode.Listen(&n.AdminListen)},
		{Key: "target_address", Required: true, Read: decode.Address(&n.TargetAddress)},
		{Key: "platform_address", Required: true, Read: decode.Address(&n.PlatformAddress)},
		{Key: "ready_listen", Read: decode.Listen(&n.ReadyListen)},
		{Key: "control_listen", Read: decode.Listen(&n.ControlListen)},
		{Key: "relay_address", Read: decode.Address(&n.RelayAddress)},
		{Key: "relay_from", Read: ipAddress(&n.RelayFrom)},
		{Key: "operator_token", Read: token(&n.OperatorToken)},
		{Key: "log_level", Read: level(&n.LogLevel)},
		{Key: "retry_share", Read: decode.Float(&n.RetryShare, 0, 1)},
		{Key: "retry_window", Read: decode.Duration(&n.RetryWindow, minRetryWindow, time.Hour)},
		{Key: "retry_slack", Read: decode.Int(&n.RetrySlack, 0, maxRetrySlack)},
		{Key: "strict_revoke", Read: decode.Bool(&n.StrictRevoke)},
		{Key: "revoke", Read: decode.Duration(&n.Revoke, minRevoke, maxRevoke)},
		{Key: "drain_timeout", Read: decode.Duration(&n.DrainTimeout, 0, maxDrainTimeout)},
		{Key: "memory_bytes", Read: decode.Size(&n.MemoryBytes, minMemoryBytes, maxMemoryBytes)},
	}
}

// checkListen reports an address that two keys share. Port 0 selects any free port, so it
// may occur twice. The announced relay address leads to the relay listener, so it must
// not equal the address of another one.
func checkListen(reader *decode.Reader, object decode.Object) {
	keyByAddress := map[string]string{}
	for _, key := range []string{"caller_listen", "relay_listen", "admin_listen", "ready_listen", "control_listen", "target_address", "relay_address"} {
		value, present := object.Fields[key]
		if !present || anyPort.MatchString(value.Node.Value) {
			continue
		}
		other, duplicate := keyByAddress[value.Node.Value]
		if duplicate && key == "relay_address" && other == "relay_listen" {
			continue
		}
		if duplicate {
			reader.Reportf(value, "another address than that of %s", other)
			continue
		}
		keyByAddress[value.Node.Value] = key
	}
}

func name(dest *string) func(*decode.Reader, decode.Value) {
	return decode.Match(dest, namePattern, nameFormat)
}

// ipAddress reads an IP address of this host.
func ipAddress(dest *string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		address, err := netip.ParseAddr(value.Node.Value)
		if err != nil || address.IsUnspecified() || address.Zone() != "" {
			r.Report(value, "an IP address of this host (such as 10.0.0.7)")
			return
		}
		*dest = address.String()
	}
}

// token reads the operators' token. The error does not repeat an invalid token, since it
// may be logged.
func token(dest *string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		if !tokenPattern.MatchString(value.Node.Value) {
			r.ReportSecret(value, "a token of "+minTokenLength+" to 256 letters without spaces")
			return
		}
		*dest = value.Node.Value
	}
}

func level(dest *string) func(*decode.Reader, decode.Value) {
	return func(r *decode.Reader, value decode.Value) {
		index := logLevel(len(logLevels))
		decode.Enum(&index, logLevels...)(r, value)
		if int(index) < len(logLevels) {
			*dest = logLevels[index]
		}
	}
}

// Package setup reads the settings of one node from its YAML file.
package setup

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/dandelionfield/dandelionfield/internal/place"
)

// Node holds the settings of one node process. Addresses are IP:port.
type Node struct {
	// Name is unique in the mesh; a new incarnation keeps the name of the old.
	Name       string
	DataCentre string
	Region     string
	// Service is the declared service of the target beside the node.
	Service string
	// CallerListen takes requests of callers and of the target itself.
	CallerListen string
	// RelayListen takes calls of other nodes.
	RelayListen string
	// RelayAddress is where other nodes reach RelayListen. It is announced to
	// them, and differs from it on a host behind a translated address.
	RelayAddress string
	// RelayFrom is the IP number that calls to other nodes go out from; empty
	// leaves the choice to the system.
	RelayFrom string
	// ReadyListen answers whether the node takes requests, and ControlListen the
	// heartbeats of the target beside it; empty for neither.
	ReadyListen   string
	ControlListen string
	// AdminListen takes the resource API and the metrics.
	AdminListen     string
	TargetAddress   string
	PlatformAddress string
	// OperatorToken is what operators show to the resource API; empty lets
	// everybody in.
	OperatorToken string
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// DrainTimeout is how long a planned stop waits for calls in flight.
	DrainTimeout time.Duration
	// RetryShare is the most that repeats may add to the calls of a service where
	// its declaration does not say; 0 stands for the declaration's default.
	RetryShare float64
	// RetryWindow and RetrySlack make RetryShare a budget that all nodes share: in
	// any window the repeats that reach a service stay below its share of the
	// requests plus the slack. 0 stands for a budget of each node.
	RetryWindow time.Duration
	RetrySlack  int
	// MemoryBytes bounds what the node holds for calls and records together.
	MemoryBytes int64
	// Reloads brings the settings anew each time the file was read again; nil when
	// nobody reads it again. It is no key of the file.
	Reloads <-chan *Node
}

// logLevel is the index of a level in logLevels.
type logLevel uint8

// The bounds and defaults of the settings.
const (
	minTokenLetters = "16"
	maxDrainTimeout = time.Hour
	minRetryWindow  = time.Second
	maxRetrySlack   = 1_000_000
	// minMemoryBytes and defaultMemory follow from 121 calls/s with answers of
	// 512 bytes, one in ten with a key, see docs/CAPACITY.md: the default holds
	// all records inside 64 MB a node, and the least refuses no call, though it
	// drops answers before their time.
	minMemoryBytes   = 16 << 20
	defaultMemory    = 36 << 20
	maxMemoryBytes   = 1 << 40
	defaultDrain     = 30 * time.Second
	defaultLogLevel  = "info"
	namesExpectation = "a name of at most 63 lower-case letters, digits, _, - and ."
)

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9_.-]{0,62}$`)
	tokenPattern = regexp.MustCompile(`^[!-~]{` + minTokenLetters + `,256}$`)
	// anyPort matches an address whose port the system chooses.
	anyPort   = regexp.MustCompile(`:0$`)
	logLevels = []string{"trace", "debug", "info", "warn", "error"}
)

// Load reads the settings from a file. The error lists all problems with
// their lines and columns as place.Problems, unless the file cannot be read.
func Load(file string) (*Node, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse reads the settings from the content of a file.
func Parse(file string, data []byte) (*Node, error) {
	reader := &place.Reader{File: file}
	documents := reader.Documents(data)
	if len(reader.Problems) == 0 && len(documents) != 1 {
		reader.Problems = append(reader.Problems, place.Problem{File: file, Expected: "one YAML document"})
	}
	if err := reader.Problems.Err(); err != nil {
		return nil, err
	}
	node := &Node{
		LogLevel:     defaultLogLevel,
		DrainTimeout: defaultDrain,
		MemoryBytes:  defaultMemory,
	}
	object := reader.Object(documents[0], node.fields())
	checkListen(reader, object)
	if err := reader.Problems.Err(); err != nil {
		return nil, err
	}
	if node.RelayAddress == "" {
		node.RelayAddress = node.RelayListen
	}
	return node, nil
}

// fields describes the keys of the file.
func (n *Node) fields() []place.Field {
	return []place.Field{
		{Key: "name", Required: true, Read: name(&n.Name)},
		{Key: "data_centre", Required: true, Read: name(&n.DataCentre)},
		{Key: "region", Required: true, Read: name(&n.Region)},
		{Key: "service", Required: true, Read: name(&n.Service)},
		{Key: "caller_listen", Required: true, Read: place.Listen(&n.CallerListen)},
		{Key: "relay_listen", Required: true, Read: place.Listen(&n.RelayListen)},
		{Key: "admin_listen", Required: true, Read: place.Listen(&n.AdminListen)},
		{Key: "target_address", Required: true, Read: place.Address(&n.TargetAddress)},
		{Key: "platform_address", Required: true, Read: place.Address(&n.PlatformAddress)},
		{Key: "ready_listen", Read: place.Listen(&n.ReadyListen)},
		{Key: "control_listen", Read: place.Listen(&n.ControlListen)},
		{Key: "relay_address", Read: place.Address(&n.RelayAddress)},
		{Key: "relay_from", Read: ipNumber(&n.RelayFrom)},
		{Key: "operator_token", Read: token(&n.OperatorToken)},
		{Key: "log_level", Read: level(&n.LogLevel)},
		{Key: "retry_share", Read: place.Float(&n.RetryShare, 0, 1)},
		{Key: "retry_window", Read: place.Duration(&n.RetryWindow, minRetryWindow, time.Hour)},
		{Key: "retry_slack", Read: place.Int(&n.RetrySlack, 0, maxRetrySlack)},
		{Key: "drain_timeout", Read: place.Duration(&n.DrainTimeout, 0, maxDrainTimeout)},
		{Key: "memory_bytes", Read: place.Size(&n.MemoryBytes, minMemoryBytes, maxMemoryBytes)},
	}
}

// checkListen reports an address that two listeners would share. Port 0 takes
// any free port, so it may stand twice. The announced address leads to the
// relay listener, so it may not be that of another one.
func checkListen(reader *place.Reader, object place.Object) {
	taken := map[string]string{}
	for _, key := range []string{"caller_listen", "relay_listen", "admin_listen", "ready_listen", "control_listen", "target_address", "relay_address"} {
		value, present := object.Fields[key]
		if !present || anyPort.MatchString(value.Node.Value) {
			continue
		}
		other, twice := taken[value.Node.Value]
		if twice && key == "relay_address" && other == "relay_listen" {
			continue
		}
		if twice {
			reader.Reportf(value, "another address than that of %s", other)
			continue
		}
		taken[value.Node.Value] = key
	}
}

func name(to *string) func(*place.Reader, place.Value) {
	return place.Match(to, namePattern, namesExpectation)
}

// ipNumber reads an IP number of this host.
func ipNumber(to *string) func(*place.Reader, place.Value) {
	return func(r *place.Reader, value place.Value) {
		address, err := netip.ParseAddr(value.Node.Value)
		if err != nil || address.IsUnspecified() || address.Zone() != "" {
			r.Report(value, "an IP number of this host (such as 10.0.0.7)")
			return
		}
		*to = address.String()
	}
}

// token reads the operators' token without repeating a wrong one in the error,
// which may end in a log.
func token(to *string) func(*place.Reader, place.Value) {
	return func(r *place.Reader, value place.Value) {
		if !tokenPattern.MatchString(value.Node.Value) {
			r.ReportSecret(value, "a token of "+minTokenLetters+" to 256 letters without spaces")
			return
		}
		*to = value.Node.Value
	}
}

func level(to *string) func(*place.Reader, place.Value) {
	return func(r *place.Reader, value place.Value) {
		index := logLevel(len(logLevels))
		place.Enum(&index, logLevels...)(r, value)
		if int(index) < len(logLevels) {
			*to = logLevels[index]
		}
	}
}

package member_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionfield/dandelionfield/internal/bench"
	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/plat"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

type (
	relayServer struct {
		relaypbconnect.UnimplementedRelayHandler
		member *member.Controller
		config *config.Controller
	}

	// countingListener counts the bytes read from and written to its connections.
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

var sizes = []int{50, 150, 530, 1060}

func (s relayServer) Exchange(_ context.Context, req *connect.Request[relaypb.ExchangeRequest]) (*connect.Response[relaypb.ExchangeResponse], error) {
	return connect.NewResponse(s.member.HandleExchange(req.Msg)), nil
}

func (s relayServer) Fetch(_ context.Context, req *connect.Request[relaypb.FetchRequest]) (*connect.Response[relaypb.FetchResponse], error) {
	return connect.NewResponse(s.config.HandleFetch(req.Msg)), nil
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

func startServer(b *testing.B, handler http.Handler) (server *httptest.Server, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	server = httptest.NewUnstartedServer(handler)
	server.Listener = countingListener{server.Listener, bytes}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	b.Cleanup(server.Close)
	return server, bytes
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// declarations returns a configuration document with the given numbers of services and of
// request kinds. Each kind calls the next two, except for the last two kinds.
func declarations(services, kinds int) []byte {
	var b bytes.Buffer
	b.WriteString("resource: data_centre\nname: port_louis\nregion: mauritius\n")
	for i := range services {
		fmt.Fprintf(&b, "---\nresource: service\nname: service%d\nslots: 120\nconnections: 800\nqueue: 60\n"+
			"queue_wait: 300ms\ncold_start: 3s\nretry_share: 0.1\nshed_status: 503\nhealth_path: /-/healthz\n", i)
	}
	for i := range kinds {
		fmt.Fprintf(&b, "---\nresource: request_kind\nname: kind%d\nservice: service%d\nmethod: GET\npath: /kind%d/{farm}\n"+
			"importance: normal\nrepeat: safe\ndeadline: 3s\nretries: 3\n", i, i%services, i)
		if i+2 < kinds {
			fmt.Fprintf(&b, "calls: [kind%d, kind%d]\n", i+1, i+2)
		}
	}
	return b.Bytes()
}

func parseDeclarations(document []byte) (*schema.Set, error) {
	return schema.Parse("configuration", document)
}

func sampleRow(i int) member.Member {
	host := fmt.Sprintf("10.20.%d.%d", i/250, i%250+1)
	return member.Member{
		Name:          fmt.Sprintf("subscriptions-%04d", i),
		Incarnation:   fmt.Sprintf("0190b0c4-5a3e-7cc0-8d7e-%012d", i),
		StartedMS:     1_700_000_000_000 + int64(i),
		Version:       4,
		RelayAddress:  host + ":7401",
		CallerAddress: host + ":7400",
		AdminAddress:  host + ":7402",
		DataCentre:    [...]string{"port_louis", "curepipe", "mahebourg"}[i%3],
		Region:        "mauritius",
		Service:       "subscriptions",
		State:         member.Active,
		Revision:      17,
	}
}

// newPair returns the first of two controllers with equal views of n members and no
// changes left to send, and the counter of the bytes on the wire. The first controller
// exchanges with the second one over HTTP/2.
func newPair(b *testing.B, n int) (first *member.Controller, bytes *atomic.Int64) {
	memory := plat.NewMemory()
	log := hclog.NewNullLogger()
	controllers := make([]*member.Controller, 2)
	for i := range controllers {
		c := member.New(sampleRow(i), memory.Store(), clock.System{}, log)
		c.Go = func(work func()) { work() }
		controllers[i] = c
	}
	server, bytes := startServer(b, nil)
	mux := http.NewServeMux()
	mux.Handle(relaypbconnect.NewRelayHandler(relayServer{member: controllers[1]}))
	server.Config.Handler = mux
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := relaypbconnect.NewRelayClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, server.URL)
	plans := make([]*relaypb.PlanVersion, plannedServices)
	for i := range plans {
		plans[i] = &relaypb.PlanVersion{Service: serviceName(i), Version: 90210}
	}
	for _, c := range controllers {
		c.Plans = func() []*relaypb.PlanVersion { return plans }
		c.Revision = func() int64 { return 17 }
		c.Send = func(ctx context.Context, _ string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
			resp, err := client.Exchange(ctx, connect.NewRequest(req))
			if err != nil {
				b.Fatal(err)
			}
			return resp.Msg, nil
		}
	}
	writeLeases(b, memory, n)
	for _, c := range controllers {
		if err := c.Renew(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	for _, c := range controllers {
		if err := c.Refresh(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	for range n { // uses up the sends of the rows from the first listing
		controllers[0].Round(context.Background())
	}
	return controllers[0], bytes
}

func writeLeases(b *testing.B, memory *plat.Memory, n int) {
	for i := 2; i < n; i++ {
		row := sampleRow(i)
		value, err := proto.Marshal(&relaypb.Member{
			Name: row.Name, Incarnation: row.Incarnation, StartedMs: row.StartedMS, Version: row.Version,
			RelayAddress: row.RelayAddress, CallerAddress: row.CallerAddress, AdminAddress: row.AdminAddress,
			DataCentre: row.DataCentre, Region: row.Region, Service: row.Service, State: uint32(row.State), Revision: row.Revision,
		})
		if err != nil {
			b.Fatal(err)
		}
		_, err = memory.Store().Commit(context.Background(), plat.Write{
			Table: "members", ID: row.Incarnation + "-1", Changes: []plat.Change{{Key: row.Name, Value: value}},
		})
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRound measures rounds without changes, with both ends of each exchange in this
// process.
func BenchmarkRound(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c, bytes := newPair(b, n)
			exchanges := 0
			send := c.Send
			c.Send = func(ctx context.Context, address string, req *relaypb.ExchangeRequest) (*relaypb.ExchangeResponse, error) {
				exchanges++
				return send(ctx, address, req)
			}
			before, used := bytes.Load(), processorTime()
			for b.Loop() {
				c.Round(context.Background())
			}
			used = processorTime() - used
			b.ReportMetric(float64(bytes.Load()-before)/float64(exchanges), "bytes/exchange")
			b.ReportMetric(float64(used)/float64(exchanges), "cpu-ns/exchange")
		})
	}
}

// BenchmarkListing measures a listing that returns the lease rows of all members, as when
// every lease was renewed since the last one.
func BenchmarkListing(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			memory := plat.NewMemory()
			writeLeases(b, memory, n)
			server, bytes := startServer(b, bench.NewPlatform(memory))
			store := plat.NewClient(server.URL, plat.Limits{ReadsPerSecond: 1e6, ReadBurst: 1e6})
			before, used := bytes.Load(), processorTime()
			for b.Loop() {
				c := member.New(sampleRow(0), store, clock.System{}, hclog.NewNullLogger())
				if err := c.Refresh(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			used = processorTime() - used
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/listing")
			b.ReportMetric(float64(used)/float64(b.N), "cpu-ns/listing")
		})
	}
}

// BenchmarkRow reports the size of one row on the wire.
func BenchmarkRow(b *testing.B) {
	c := member.New(sampleRow(1), plat.NewMemory().Store(), clock.System{}, hclog.NewNullLogger())
	size := 0
	for b.Loop() {
		resp := c.HandleExchange(&relaypb.ExchangeRequest{From: "10.20.0.9:7401", WantFull: true})
		size = proto.Size(resp.Deltas[0])
	}
	b.ReportMetric(float64(size), "bytes/row")
}

// BenchmarkSpread measures in simulated time, with the platform down, how long a change
// takes to reach every node: the mean in milliseconds and the maximum in rounds of 300 ms.
func BenchmarkSpread(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			is := is.New(b)
			var spread, slowest time.Duration
			for seed := 0; b.Loop(); seed++ {
				b.StopTimer()
				c := newSettledCluster(b, uint64(seed), n)
				c.memory.SetFaults(plat.Faults{Down: true})
				c.advance(10 * time.Second)
				b.StartTimer()
				c.nodes[0].member.SetSelf(func(self *member.Member) { self.State = member.Cold })
				row := c.nodes[0].member.Self()
				took := c.run(time.Minute, c.all(func(n *node) bool { return knows(n, row) }))
				is.True(took < time.Minute)
				spread += took
				slowest = max(slowest, took)
			}
			b.ReportMetric(float64(spread.Milliseconds())/float64(b.N), "model-ms")
			b.ReportMetric(float64(slowest.Milliseconds())/300, "worst-rounds")
		})
	}
}

// BenchmarkStore measures the requests of a node without changes to the platform, other
// than listings: a renewal of its lease, and a poll of the head row of the configuration.
func BenchmarkStore(b *testing.B) {
	memory := plat.NewMemory()
	server, bytes := startServer(b, bench.NewPlatform(memory))
	store := plat.NewClient(server.URL, plat.Limits{ReadsPerSecond: 1e6, ReadBurst: 1e6, WritesPerSecond: 1e6, WriteBurst: 1e6})
	ctx := context.Background()
	node := member.New(sampleRow(1), store, clock.System{}, hclog.NewNullLogger())
	declared := config.New(store, parseAny, clock.System{}, hclog.NewNullLogger())
	if _, err := declared.Commit(ctx, []byte("first"), 0); err != nil {
		b.Fatal(err)
	}
	for name, step := range map[string]func(context.Context) error{"renew": node.Renew, "poll": declared.Poll} {
		b.Run(name, func(b *testing.B) {
			before, used := bytes.Load(), processorTime()
			for b.Loop() {
				if err := step(ctx); err != nil {
					b.Fatal(err)
				}
			}
			used = processorTime() - used
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/op")
			b.ReportMetric(float64(used)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkFetch measures how a node fetches a new revision from a peer: the bytes
// transferred, and the processor time of both ends including parsing of the document.
func BenchmarkFetch(b *testing.B) {
	for _, size := range []struct{ services, kinds int }{{4, 6}, {14, 75}, {27, 150}, {54, 300}} {
		b.Run(fmt.Sprintf("services=%d/kinds=%d", size.services, size.kinds), func(b *testing.B) {
			document := declarations(size.services, size.kinds)
			source := config.New(plat.NewMemory().Store(), parseDeclarations, clock.System{}, hclog.NewNullLogger())
			if !source.Offer(config.Revision{Number: 1, Digest: config.Digest(document), Document: document}) {
				b.Fatal("the document was rejected")
			}
			server, wire := startServer(b, nil)
			mux := http.NewServeMux()
			mux.Handle(relaypbconnect.NewRelayHandler(relayServer{config: source}))
			server.Config.Handler = mux
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			client := relaypbconnect.NewRelayClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, server.URL)
			before, used := wire.Load(), processorTime()
			for b.Loop() {
				fetcher := config.New(plat.NewMemory().Store(), parseDeclarations, clock.System{}, hclog.NewNullLogger())
				fetcher.Go = func(work func()) { work() }
				fetcher.Fetch = func(ctx context.Context, _ string, plans []string) (*relaypb.FetchResponse, error) {
					resp, err := client.Fetch(ctx, connect.NewRequest(&relaypb.FetchRequest{Plans: plans}))
					if err != nil {
						return nil, err
					}
					return resp.Msg, nil
				}
				fetcher.ObserveRevision(context.Background(), server.URL, 1)
				if fetcher.Number() != 1 {
					b.Fatal("the revision was not fetched")
				}
			}
			used = processorTime() - used
			b.ReportMetric(float64(len(document)), "bytes/document")
			b.ReportMetric(float64(wire.Load()-before)/float64(b.N), "bytes/fetch")
			b.ReportMetric(float64(used)/float64(b.N), "cpu-ns/fetch")
		})
	}
}

// BenchmarkParse measures the parsing of a document alone.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ services, kinds int }{{4, 6}, {14, 75}, {27, 150}, {54, 300}} {
		b.Run(fmt.Sprintf("services=%d/kinds=%d", size.services, size.kinds), func(b *testing.B) {
			document := declarations(size.services, size.kinds)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := parseDeclarations(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkView measures the heap memory of a view, including the strings of its rows.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			rows := make([]member.Member, n)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				view := member.NewView(sampleRow(0))
				for i := range rows {
					rows[i] = sampleRow(i)
				}
				view.Merge(time.UnixMilli(1_700_000_100_000), rows)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(view)
				clear(rows)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/member")
		})
	}
}

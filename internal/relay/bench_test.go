package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
)

type (
	peerServer struct {
		relaypbconnect.UnimplementedRelayHandler
	}

	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	countingConn struct {
		net.Conn
		bytes *atomic.Int64
	}
)

func (peerServer) Exchange(context.Context, *connect.Request[relaypb.ExchangeRequest]) (*connect.Response[relaypb.ExchangeResponse], error) {
	return connect.NewResponse(&relaypb.ExchangeResponse{}), nil
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

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func exchangeWith(b *testing.B, clients []*relay.Client, address string) {
	for _, client := range clients {
		if _, err := client.Exchange(context.Background(), address, &relaypb.ExchangeRequest{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdle measures the cost of open connections without traffic: processor time and
// memory of both ends, and bytes in both directions.
func BenchmarkIdle(b *testing.B) {
	for _, open := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("connections=%d", open), func(b *testing.B) {
			var wire atomic.Int64
			_, handler := relaypbconnect.NewRelayHandler(peerServer{})
			server := httptest.NewUnstartedServer(handler)
			server.Listener = countingListener{server.Listener, &wire}
			server.Config.Protocols = relay.Protocols()
			server.Config.HTTP2 = relay.HTTP2()
			server.Start()
			b.Cleanup(server.Close)
			address := server.Listener.Addr().String()
			bare := memoryBytes()
			clients := make([]*relay.Client, open)
			for i := range clients {
				clients[i] = relay.NewClient()
			}
			exchangeWith(b, clients, address)
			held := memoryBytes() - bare
			started, before, used := time.Now(), wire.Load(), processorTime()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			used = processorTime() - used
			connectionSeconds := time.Since(started).Seconds() * float64(open)
			b.ReportMetric(float64(used.Microseconds())/connectionSeconds, "cpu-us/connection-s")
			b.ReportMetric(float64(wire.Load()-before)/connectionSeconds, "bytes/connection-s")
			b.ReportMetric(float64(held)/float64(open), "bytes/connection")
			for _, client := range clients {
				client.Drop(address)
			}
		})
	}
}

// BenchmarkOpen measures an exchange that has to open a connection first.
func BenchmarkOpen(b *testing.B) {
	var wire atomic.Int64
	_, handler := relaypbconnect.NewRelayHandler(peerServer{})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = countingListener{server.Listener, &wire}
	server.Config.Protocols = relay.Protocols()
	server.Config.HTTP2 = relay.HTTP2()
	server.Start()
	b.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	client := relay.NewClient()
	used := processorTime()
	for b.Loop() {
		exchangeWith(b, []*relay.Client{client}, address)
		client.Drop(address)
	}
	used = processorTime() - used
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/exchange")
	b.ReportMetric(float64(wire.Load())/float64(b.N), "bytes/exchange")
}

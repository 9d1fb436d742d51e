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
	// peerServer is a node that answers every exchange with an empty response.
	peerServer struct {
		relaypbconnect.UnimplementedRelayHandler
	}

	// countingListener counts the bytes in both directions of its connections.
	countingListener struct {
		net.Listener
		bytes *atomic.Int64
	}

	// countingConn is a connection of a countingListener.
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

// BenchmarkIdleConnections measures the cost of open connections without traffic:
// processor time and memory of both ends, and bytes in both directions.
func BenchmarkIdleConnections(b *testing.B) {
	for _, connections := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			var wireBytes atomic.Int64
			_, handler := relaypbconnect.NewRelayHandler(peerServer{})
			server := httptest.NewUnstartedServer(handler)
			server.Listener = countingListener{server.Listener, &wireBytes}
			server.Config.Protocols = relay.Protocols()
			server.Config.HTTP2 = relay.HTTP2()
			server.Start()
			b.Cleanup(server.Close)
			address := server.Listener.Addr().String()
			memoryBefore := memoryBytes()
			clients := make([]*relay.Client, connections)
			for i := range clients {
				clients[i] = relay.NewClient()
			}
			exchangeWith(b, clients, address)
			memoryUsed := memoryBytes() - memoryBefore
			started, bytesBefore, cpuTime := time.Now(), wireBytes.Load(), processorTime()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			cpuTime = processorTime() - cpuTime
			connectionSeconds := time.Since(started).Seconds() * float64(connections)
			b.ReportMetric(float64(cpuTime.Microseconds())/connectionSeconds, "cpu-us/connection-s")
			b.ReportMetric(float64(wireBytes.Load()-bytesBefore)/connectionSeconds, "bytes/connection-s")
			b.ReportMetric(float64(memoryUsed)/float64(connections), "bytes/connection")
			for _, client := range clients {
				client.Drop(address)
			}
		})
	}
}

// BenchmarkExchangeOnNewConnection measures an exchange that has to open a connection
// first.
func BenchmarkExchangeOnNewConnection(b *testing.B) {
	var wireBytes atomic.Int64
	_, handler := relaypbconnect.NewRelayHandler(peerServer{})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = countingListener{server.Listener, &wireBytes}
	server.Config.Protocols = relay.Protocols()
	server.Config.HTTP2 = relay.HTTP2()
	server.Start()
	b.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	client := relay.NewClient()
	cpuTime := processorTime()
	for b.Loop() {
		exchangeWith(b, []*relay.Client{client}, address)
		client.Drop(address)
	}
	cpuTime = processorTime() - cpuTime
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(b.N), "cpu-us/exchange")
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "bytes/exchange")
}

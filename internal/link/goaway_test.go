package link

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/relaypb"
)

// newRawPeer returns the connection of a peer that tests let send and read single frames.
func newRawPeer(t *testing.T, raw net.Conn) *conn {
	t.Helper()
	c := newConn(raw)
	is.New(t).NoErr(c.handshake())
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		c.fail(errClosed)
	})
	go c.write(ctx)
	return c
}

// Guards against a call that runs although a goAwayFrame told its sender that it was not
// accepted, which sends it elsewhere: calls may arrive out of the order of their numbers.
func TestGoAwayNamesHighestAcceptedCall(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 2), make(chan struct{})
	server := &Server{Carry: func(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
		began <- struct{}{}
		<-release
		return respond(ctx, request)
	}}
	raw, err := net.Dial("tcp", serve(t, server))
	is.NoErr(err)
	peer := newRawPeer(t, raw)
	for _, number := range []uint32{2, 1} {
		is.NoErr(peer.send(callFrame, number, &relaypb.CarryRequest{}))
		<-began
	}
	go server.Close(testContext(t))
	defer close(release)
	_ = raw.SetReadDeadline(time.Now().Add(5 * time.Second))
	var got frame
	for got.kind != goAwayFrame {
		got, _, err = peer.read(nil)
		is.NoErr(err)
	}
	is.Equal(got.call, uint32(2))
}

// Guards against calls that a closing peer did not accept but counts as accepted, because the
// frame of a later call overtook theirs: their senders could not send them elsewhere.
func TestCallsAreSentInOrderOfTheirNumbers(t *testing.T) {
	const (
		senders        = 16
		callsPerSender = 500
		inPieces       = 10 // one in so many calls has a body that is sent in pieces
	)
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	numbers := make(chan uint32, senders*callsPerSender)
	go func() {
		defer close(numbers)
		raw, err := listener.Accept()
		if err == nil {
			answerCalls(newRawPeer(t, raw), numbers)
		}
	}()
	client, err := Dial(t.Context(), (&net.Dialer{}).DialContext, listener.Addr().String(), nil)
	is.NoErr(err)
	<-client.conn.features
	var running sync.WaitGroup
	for range senders {
		running.Go(func() {
			for n := range callsPerSender {
				request := &relaypb.CarryRequest{AttemptId: strconv.Itoa(n)}
				if n%inPieces == 0 {
					request.Body = make([]byte, pieceThreshold+1)
				}
				_, _ = client.Carry(testContext(t), request) // a call in pieces gets no response
			}
		})
	}
	running.Wait()
	client.Close() // ends the peer's reading, all calls have arrived
	last, count := uint32(0), 0
	for number := range numbers {
		is.True(number > last)
		last = number
		count++
	}
	is.Equal(count, senders*callsPerSender)
}

// answerCalls reports the numbers of the calls that arrive until the connection ends. It
// answers calls in one frame and ends those in pieces before their bodies.
func answerCalls(c *conn, numbers chan<- uint32) {
	for {
		got, _, err := c.read(nil)
		if err != nil {
			return
		}
		switch got.kind {
		case callFrame:
			numbers <- got.call
			_ = c.send(responseFrame, got.call, &relaypb.CarryResponse{})
		case callOfferFrame:
			numbers <- got.call
			_ = c.send(noResponseFrame, got.call, nil)
		}
	}
}

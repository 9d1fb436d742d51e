package node

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/clock"
	"github.com/dandelionfield/dandelionfield/internal/config"
	"github.com/dandelionfield/dandelionfield/internal/member"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/setup"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// News of two members arrives at the same time, over and over. Whichever is worked
// off last, calls go by the last view, and not by one that was taken before it.
func TestLastViewIsInForce(t *testing.T) {
	is := is.New(t)
	settings := &setup.Node{Name: "a", Service: "s", TargetAddress: "127.0.0.1:1", PlatformAddress: "127.0.0.1:1", MemoryBytes: 16 << 20}
	declared := func([]byte) (*schema.Set, error) { return &schema.Set{Services: []schema.Service{{Name: "s"}}}, nil }
	n := New(settings, hclog.NewNullLogger(), clock.System{}, Doors{Parse: declared})
	document := []byte("one service")
	is.True(n.config.Offer(config.Revision{Number: 1, Document: document, Digest: config.Digest(document)}))
	for round := range viewRounds {
		var told sync.WaitGroup
		for _, name := range []string{"b", "c"} {
			told.Go(func() {
				n.members.Answer(&relaypb.ExchangeRequest{From: name, Deltas: []*relaypb.Member{{
					Name: name, Incarnation: fmt.Sprint(name, round), StartedMs: int64(round + 1), Version: 1,
					RelayAddress: name, Service: "s", State: uint32(member.Active),
				}}})
			})
		}
		told.Wait()
		present := map[string]bool{}
		for _, target := range n.sender.Targets("s") {
			present[target.Target.Incarnation] = true
		}
		for _, name := range []string{"b", "c"} {
			if !present[relay.JoinIncarnation(fmt.Sprint(name, round), "")] {
				t.Fatalf("round %d: %s is missing among %v", round, name, present)
			}
		}
	}
}

// viewRounds is how often two changes of the view meet in the test.
const viewRounds = 5000

// Before a node knows the others beside targets of its service, it spends nothing of
// the slack that they share.
func TestSlackOfRepeatsWaitsForTheView(t *testing.T) {
	is := is.New(t)
	settings := &setup.Node{
		Name: "a", Service: "s", TargetAddress: "127.0.0.1:1", PlatformAddress: "127.0.0.1:1", MemoryBytes: 16 << 20,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 48,
	}
	n := New(settings, hclog.NewNullLogger(), clock.System{}, Doors{})
	is.Equal(n.retryRule().Slack, 0.0)
	is.True(n.retryRule().Share > 0)
}

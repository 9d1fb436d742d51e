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

// Guards against an older view of the members replacing a newer one when the updates of
// two members arrive at the same time: calls must go by the latest view, whichever update
// is processed last.
func TestConcurrentUpdatesKeepLatestView(t *testing.T) {
	is := is.New(t)
	settings := &setup.Node{Name: "a", Service: "s", TargetAddress: "127.0.0.1:1", PlatformAddress: "127.0.0.1:1", MemoryBytes: 16 << 20}
	declared := func([]byte) (*schema.Set, error) { return &schema.Set{Services: []schema.Service{{Name: "s"}}}, nil }
	n := New(settings, hclog.NewNullLogger(), clock.System{}, Adapters{Parse: declared})
	document := []byte("one service")
	is.True(n.config.Offer(config.Revision{Number: 1, Document: document, Digest: config.Digest(document)}))
	for round := range concurrentUpdateRounds {
		var exchanges sync.WaitGroup
		for _, name := range []string{"b", "c"} {
			exchanges.Go(func() {
				n.members.HandleExchange(&relaypb.ExchangeRequest{From: name, Deltas: []*relaypb.Member{{
					Name: name, Incarnation: fmt.Sprint(name, round), StartedMs: int64(round + 1), Version: 1,
					RelayAddress: name, Service: "s", State: uint32(member.Active),
				}}})
			})
		}
		exchanges.Wait()
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

// concurrentUpdateRounds is how often two updates run concurrently in the test.
const concurrentUpdateRounds = 5000

// A node that does not know yet how many nodes are beside targets of its service must not
// spend any of the retry slack that they share.
func TestRetrySlackIsZeroBeforeViewIsReady(t *testing.T) {
	is := is.New(t)
	settings := &setup.Node{
		Name: "a", Service: "s", TargetAddress: "127.0.0.1:1", PlatformAddress: "127.0.0.1:1", MemoryBytes: 16 << 20,
		RetryShare: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 48,
	}
	n := New(settings, hclog.NewNullLogger(), clock.System{}, Adapters{})
	is.Equal(n.retryBudgetRule().Slack, 0.0)
	is.True(n.retryBudgetRule().Share > 0)
}

package local

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dandelionfield/dandelionfield/internal/budget"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/pkg/result"
	"github.com/dandelionfield/dandelionfield/pkg/schema"
)

// The node beside the target admits as many retries as the requests of all senders allow,
// and excess retries do not reach the target.
func TestRetryBudgetIsSharedBySenders(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	t.Cleanup(target.Close)
	kind := &schema.Kind{Name: "k", Service: "s", Method: http.MethodGet, Repeat: schema.Safe}
	s := newServer(strings.TrimPrefix(target.URL, "http://"), kind, schema.DefaultLimits())
	s.retryWindow = budget.NewWindow(budget.Rule{Share: 0.2, MayHaveRunShare: 0.1, InnerFraction: 1, Span: 10 * time.Second})
	carry := func(earlier relaypb.Earlier, from string) result.Code {
		attempt := newAttempt(kind)
		attempt.Earlier = earlier
		attempt.CallerService = from
		return result.Code(s.Carry(context.Background(), attempt).Code)
	}
	for range 5 {
		is.Equal(carry(relaypb.Earlier_EARLIER_UNSPECIFIED, "one"), result.OK)
		is.Equal(carry(relaypb.Earlier_EARLIER_UNSPECIFIED, "two"), result.OK)
	}
	reached := arrived.Load()
	is.Equal(carry(relaypb.Earlier_EARLIER_UNSENT, "three"), result.OK) // the earlier attempt reached no target
	is.Equal(carry(relaypb.Earlier_EARLIER_RAN, "three"), result.OK)
	is.Equal(carry(relaypb.Earlier_EARLIER_RAN, "three"), result.BudgetSpent)
	is.Equal(carry(relaypb.Earlier_EARLIER_SHED, "three"), result.OK)
	is.Equal(carry(relaypb.Earlier_EARLIER_SHED, "three"), result.BudgetSpent)
	is.Equal(arrived.Load()-reached, int32(3))
}

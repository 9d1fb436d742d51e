package node

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/dandelionfield/dandelionfield/internal/local"
	"github.com/dandelionfield/dandelionfield/internal/metric"
	"github.com/dandelionfield/dandelionfield/internal/relay"
	"github.com/dandelionfield/dandelionfield/internal/relaypb"
	"github.com/dandelionfield/dandelionfield/internal/relaypb/relaypbconnect"
	"github.com/dandelionfield/dandelionfield/pkg/result"
)

// relayService implements the API for other nodes.
type relayService struct {
	node *Node
}

func (n *Node) relayHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := relaypbconnect.NewRelayHandler(&relayService{node: n}, relay.HandlerOptions()...)
	mux.Handle(path, handler)
	return mux
}

// Carry runs an attempt, or joins the attempt if it has arrived before.
func (r *relayService) Carry(ctx context.Context, request *connect.Request[relaypb.CarryRequest]) (*connect.Response[relaypb.CarryResponse], error) {
	answer := r.node.carry(ctx, request.Msg)
	if answer == nil {
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	return connect.NewResponse(answer), nil
}

// carry runs an attempt of another node. It returns nil if the context ends first.
func (n *Node) carry(ctx context.Context, request *relaypb.CarryRequest) *relaypb.CarryResponse {
	if !n.members.Ready() {
		// After a freeze the node's lease may have expired, and its state may be older
		// than that of its peers.
		return n.local.Refuse(request, result.NoConfiguration)
	}
	return n.local.Carry(ctx, request)
}

// refuseForMemory answers an attempt of another node for which there is no memory.
func (n *Node) refuseForMemory(request *relaypb.CarryRequest) *relaypb.CarryResponse {
	n.metrics.MemoryRefusals.WithLabelValues(metric.OriginNodes).Inc()
	return n.local.Refuse(request, result.MemoryBound)
}

// Fate returns the state or outcome of an attempt.
func (r *relayService) Fate(ctx context.Context, request *connect.Request[relaypb.FateRequest]) (*connect.Response[relaypb.FateResponse], error) {
	return connect.NewResponse(r.node.local.Fate(ctx, request.Msg)), nil
}

// Exchange merges the membership updates of a peer and returns those of this node.
func (r *relayService) Exchange(_ context.Context, request *connect.Request[relaypb.ExchangeRequest]) (*connect.Response[relaypb.ExchangeResponse], error) {
	return connect.NewResponse(r.node.members.HandleExchange(request.Msg)), nil
}

// Fetch returns the configuration in force and the owner plans asked for.
func (r *relayService) Fetch(_ context.Context, request *connect.Request[relaypb.FetchRequest]) (*connect.Response[relaypb.FetchResponse], error) {
	return connect.NewResponse(r.node.config.HandleFetch(request.Msg)), nil
}

// Report returns the load of the target beside this node.
func (r *relayService) Report(context.Context, *connect.Request[relaypb.ReportRequest]) (*connect.Response[relaypb.ReportResponse], error) {
	load := r.node.local.Load()
	return connect.NewResponse(&relaypb.ReportResponse{
		Load:             local.PackLoad(load, r.node.leaving.Load()),
		Floor:            r.node.local.Floor(),
		PendingHandovers: uint32(len(r.node.takeovers.due(r.node.clock.Now()))),
	}), nil
}

// Handover imports the idempotency records of a leaving node.
func (r *relayService) Handover(_ context.Context, request *connect.Request[relaypb.HandoverRequest]) (*connect.Response[relaypb.HandoverResponse], error) {
	accepted := r.node.importRecords(request.Msg)
	return connect.NewResponse(&relaypb.HandoverResponse{Accepted: accepted}), nil
}

// Quota takes another node's report on the use of quotas.
func (r *relayService) Quota(ctx context.Context, request *connect.Request[relaypb.QuotaRequest]) (*connect.Response[relaypb.QuotaResponse], error) {
	return connect.NewResponse(r.node.handleQuotaReport(ctx, request.Msg)), nil
}

// fetch asks another node for its configuration and plans.
func (n *Node) fetch(ctx context.Context, address string, plans []string) (*relaypb.FetchResponse, error) {
	response, err := n.client.ControlClient(address).Fetch(ctx, connect.NewRequest(&relaypb.FetchRequest{Plans: plans}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

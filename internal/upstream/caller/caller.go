package caller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// An Engine is one model engine as its owner reaches it.
type Engine interface {
	// Order carries out one order and says what is known of it.
	Order(ctx context.Context, address string, action keeper.Action) Answer
	// Raise tells the engine a new fencing number. It returns whether the
	// engine has confirmed it.
	Raise(ctx context.Context, address string, fence uint64) bool
	// Report asks the engine for its state.
	Report(ctx context.Context, address string) (Report, error)
}

// An Answer is how an order ended.
type Answer struct {
	Outcome keeper.Outcome
	Fenced  bool // refused because of a newer fencing number: another instance owns the runner
}

// A Report is what an engine says of itself.
type Report struct {
	Engine   string   `json:"engine"`
	Resident []string `json:"resident"`
	Loading  []string `json:"loading"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Leaving  bool     `json:"leaving"`
}

// A Client is an Engine over HTTP. Its fields are set before use.
type Client struct {
	Timeout time.Duration // for an order; a load takes as long as the weight store
}

var _ Engine = (*Client)(nil)

// The paths of an engine.
const (
	pathEvict  = "/orders/evict"
	pathFence  = "/orders/fence"
	pathLoad   = "/orders/load"
	pathReport = "/report"
)

// reportTimeout bounds the wait for a report. A late one is of no use.
const reportTimeout = 2 * time.Second

// order is the body of an order.
type order struct {
	Handle string `json:"handle"`
	Fence  uint64 `json:"fence"`
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, address string, action keeper.Action) Answer {
	switch a := action.(type) {
	case keeper.Evict:
		return c.order(ctx, address, pathEvict, order{Handle: a.Handle.String(), Fence: a.Fence})
	case keeper.Load:
		return c.order(ctx, address, pathLoad, order{Handle: a.Handle.String(), Fence: a.Fence})
	default:
		panic("caller: unknown action")
	}
}

// Raise implements Engine.
func (c *Client) Raise(ctx context.Context, address string, fence uint64) bool {
	return c.order(ctx, address, pathFence, order{Fence: fence}).Outcome == keeper.Done
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + pathReport)
	var r requester.Requester
	status, body, seen := r.Whole(ctx, address, request)
	if err := unexpected(status, seen); err != nil {
		return Report{}, err
	}
	var report Report
	err := json.Unmarshal(body, &report)
	return report, err
}

// order sends one order. Only an explicit answer is taken for an outcome.
func (c *Client) order(ctx context.Context, address, path string, o order) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return Answer{Outcome: keeper.Failed}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	var r requester.Requester
	status, _, seen := r.Whole(ctx, address, request)
	return judgeOrder(path, status, seen)
}

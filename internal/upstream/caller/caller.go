package caller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// An Engine is the control API of model engines.
type Engine interface {
	// Cancel cancels a request. It returns whether the engine has confirmed that
	// the request does not run.
	Cancel(ctx context.Context, address, request string) bool
	// Order sends one order and returns its outcome as far as it is known.
	Order(ctx context.Context, address string, action keeper.Action) Answer
	// RaiseFence raises the engine's fencing token. It returns whether the engine has
	// confirmed it.
	RaiseFence(ctx context.Context, address string, fence uint64) bool
	// Report requests the engine's state.
	Report(ctx context.Context, address string) (Report, error)
}

// An Answer is the outcome of an order.
type Answer struct {
	Outcome keeper.Outcome
	Fenced  bool // refused because of a newer fencing token: another instance owns the runner
}

// A Report is the state of an engine as it reports it.
type Report struct {
	Engine   string   `json:"engine"`
	Resident []string `json:"resident"`
	Loading  []string `json:"loading"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Leaving  bool     `json:"leaving"`
}

// A Client implements Engine over HTTP. Its fields are set before use.
type Client struct {
	Timeout time.Duration // for an order; the duration of a load depends on the weight store
}

var _ Engine = (*Client)(nil)

// The paths of an engine's control API.
const (
	pathCancel = "/orders/cancel"
	pathEvict  = "/orders/evict"
	pathFence  = "/orders/fence"
	pathLoad   = "/orders/load"
	pathReport = "/report"
)

// reportTimeout bounds requests for reports and cancellations. A late report is of no use.
const reportTimeout = 2 * time.Second

// order is the body of an order.
type order struct {
	Handle string `json:"handle"`
	Fence  uint64 `json:"fence"`
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, address, request string) bool {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	status, observed := post(ctx, address, pathCancel, map[string]string{"request": request})
	return observed == nil && status == fasthttp.StatusOK
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

// RaiseFence implements Engine.
func (c *Client) RaiseFence(ctx context.Context, address string, fence uint64) bool {
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
	status, body, observed := r.ReadAll(ctx, address, request)
	if err := statusError(status, observed); err != nil {
		return Report{}, err
	}
	var report Report
	err := json.Unmarshal(body, &report)
	return report, err
}

// order sends one order. Only an explicit response counts as a definite outcome.
func (c *Client) order(ctx context.Context, address, path string, o order) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, observed := post(ctx, address, path, o)
	return orderOutcome(path, status, observed)
}

// post sends a value as JSON and returns the status of the response.
func post(ctx context.Context, address, path string, value any) (int, judge.Observation) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, judge.DialFailed{Err: err}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	var r requester.Requester
	status, _, observed := r.ReadAll(ctx, address, request)
	return status, observed
}

package answerer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A Dispatcher dispatches calls.
type Dispatcher interface {
	Dispatch(ctx context.Context, call *streamer.Call, sink streamer.Sink) error
}

// An Answerer serves the HTTP API for callers. Its fields are set before use.
type Answerer struct {
	Claimer    *claimer.Claimer
	Dispatcher Dispatcher
	Domain     string
	Settings   func() *resolver.Resolver // current settings; nil if there are none yet
	Logger     log.Logger
	Metrics    *metrics.Set
	Stopping   func() bool   // reports whether new requests are refused
	Token      func() string // returns a unique request ID

	mu   sync.Mutex
	open map[string]int // number of open requests by account
}

// Headers of requests and responses; see docs/CALLERS.md.
const (
	HeaderDeadline = "X-Deadline"
	HeaderKey      = "Idempotency-Key"
	HeaderOnce     = "X-Once"
	HeaderPriority = "X-Priority"
	HeaderRequest  = "X-Request-Id"
	HeaderRunner   = "X-Runner"
	HeaderStall    = "X-Stall"
)

// Paths of the API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	PathServices    = "/services/"
)

// Handler returns the handler of the API.
func (a *Answerer) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST(PathChat, a.completion)
	r.POST(PathCompletions, a.completion)
	r.GET(PathModels, a.models)
	r.ANY(PathServices+"{service}/{path:*}", a.plain)
	r.NotFound = func(c *fasthttp.RequestCtx) {
		a.refuse(c, judge.Refuse(judge.ReasonBody, "no such path; see %s, %s and %s", PathChat, PathModels, PathServices))
	}
	return r.Handler
}

// Idle reports whether no request is open.
func (a *Answerer) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open) == 0
}

// HandleMalformed responds to a request that could not be read because it is too large
// or malformed.
func (a *Answerer) HandleMalformed(c *fasthttp.RequestCtx, err error) {
	a.refuse(c, judge.Refuse(judge.ReasonBody, "the request could not be read: %v", err))
}

func (a *Answerer) completion(c *fasthttp.RequestCtx) {
	a.serve(c, parseCompletion)
}

func (a *Answerer) models(c *fasthttp.RequestCtx) {
	settings, caller, err := a.authenticate(c)
	if err != nil {
		a.refuse(c, err)
		return
	}
	writeModels(c, settings, caller.Account)
}

func (a *Answerer) plain(c *fasthttp.RequestCtx) {
	a.serve(c, parsePlain)
}

// authenticate identifies the account of a request.
func (a *Answerer) authenticate(c *fasthttp.RequestCtx) (*resolver.Resolver, resolver.Caller, *judge.Error) {
	settings := a.Settings()
	if settings == nil {
		return nil, resolver.Caller{}, judge.Refuse(judge.ReasonStarting, "no settings are in force here yet").WithRetryAfter(time.Second)
	}
	caller, ok := settings.Caller(bearer(c))
	if !ok {
		return nil, resolver.Caller{}, judge.Refuse(judge.ReasonAuth, "the key in the Authorization header belongs to no account")
	}
	return settings, caller, nil
}

// acquire counts a request of an account as open, or refuses it.
func (a *Answerer) acquire(account string, limit int) *judge.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Stopping() {
		return judge.Refuse(judge.ReasonStopping, "this instance is leaving; ask again").WithRetryAfter(time.Second)
	}
	if a.open == nil {
		a.open = make(map[string]int)
	}
	if a.open[account] >= limit {
		return judge.Refuse(judge.ReasonShare, "account %s has %d requests open here", account, limit).WithRetryAfter(time.Second)
	}
	a.open[account]++
	return nil
}

func (a *Answerer) release(account string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[account]--
	if a.open[account] == 0 {
		delete(a.open, account)
	}
}

// serve parses, dispatches and answers one request.
func (a *Answerer) serve(c *fasthttp.RequestCtx, parse parseFunc) {
	settings, caller, refusal := a.authenticate(c)
	if refusal != nil {
		a.refuse(c, refusal)
		return
	}
	call, values, refusal := a.read(c, settings, caller, parse)
	if refusal != nil {
		a.refuse(c, refusal)
		return
	}
	c.Response.Header.Set(HeaderRequest, call.ID)
	if refusal := a.acquire(call.Account, values.Streams); refusal != nil {
		a.refuse(c, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	p := newPipe(ctx, cancel, a, call, values.Keep)
	go p.run()
	p.write(c)
}

func (a *Answerer) read(c *fasthttp.RequestCtx, settings *resolver.Resolver, caller resolver.Caller, parse parseFunc) (*streamer.Call, resolver.Effective, *judge.Error) {
	call := &streamer.Call{ID: a.Token(), Account: caller.Account, Desk: caller.Desk}
	if refusal := parse(c, settings, call); refusal != nil {
		return nil, resolver.Effective{}, refusal
	}
	values := settings.Values(call.Account, call.Service, a.Domain, call.Desk)
	if len(call.Body) > values.Body {
		return nil, values, judge.Refuse(judge.ReasonBody, "the body has %d bytes, at most %d are allowed", len(call.Body), values.Body)
	}
	if refusal := parseHeaders(c, call, values); refusal != nil {
		return nil, values, refusal
	}
	return call, values, nil
}

// refuse responds with an error and counts it.
func (a *Answerer) refuse(c *fasthttp.RequestCtx, err *judge.Error) {
	a.count(err)
	writeError(c, err)
}

func (a *Answerer) count(err *judge.Error) {
	a.Metrics.GetOrCreateCounter(`sardinetiller_refusals_total{reason="` + string(err.Reason) + `",verdict="` + string(err.Verdict) + `"}`).Inc()
}

func (a *Answerer) logAnswered(call *streamer.Call, err error, startedAt time.Time) {
	logger := level.Debug(a.Logger)
	if err != nil {
		logger = level.Info(a.Logger)
	}
	_ = logger.Log("msg", "answered", "request", call.ID, "account", call.Account, "adapter", call.Adapter,
		"service", call.Service, "took", time.Since(startedAt), "err", err)
}

func writeModels(c *fasthttp.RequestCtx, settings *resolver.Resolver, account string) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int    `json:"created"`
		Owner   string `json:"owned_by"`
	}
	models := []model{}
	settings.Adapters(account, func(name string) bool {
		models = append(models, model{ID: name, Object: "model", Owner: account})
		return true
	})
	listener.WriteJSON(c, fasthttp.StatusOK, map[string]any{"object": "list", "data": models})
}

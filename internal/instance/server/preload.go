package server

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A PreloadResult names the runner on which an adapter is preloaded.
type PreloadResult struct {
	Adapter string `json:"adapter" yaml:"adapter"`
	Runner  string `json:"runner" yaml:"runner"`
}

// preload handles an operator's request to preload an adapter, on the runner to
// which a request for it would be routed.
func (s *Server) preload(c *fasthttp.RequestCtx) {
	adapter, _ := c.UserValue("adapter").(string)
	settings := s.Settings()
	if settings == nil {
		c.Error("no settings are in force here yet", fasthttp.StatusServiceUnavailable)
		return
	}
	declared, ok := settings.Adapter(adapter)
	if !ok {
		c.Error("no such adapter; write name@version as adapter list shows it", fasthttp.StatusNotFound)
		return
	}
	step, ok := s.Dispatcher.Choose(declared)
	if !ok {
		c.Error("no runner of service "+declared.Service+" can serve here", fasthttp.StatusServiceUnavailable)
		return
	}
	if err := s.preloadOn(c, step.Owner, step.Runner, adapter); err != nil {
		c.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	listener.WriteJSON(c, fasthttp.StatusOK, PreloadResult{Adapter: adapter, Runner: step.Runner})
}

func (s *Server) preloadOn(ctx context.Context, owner, runner, adapter string) error {
	ctx = context.WithoutCancel(ctx)
	if owner == s.Incarnation {
		return s.Driver.Preload(ctx, runner, adapter)
	}
	address, _ := s.address(owner)
	c, err := s.Mesh.Open(ctx, address, relayer.Preload{Runner: runner, Adapter: adapter})
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = c.Next(ctx)
	return err
}

package server_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
)

// unresponsiveHandler is a handler that receives requests of peers and never answers.
type unresponsiveHandler struct{}

func (unresponsiveHandler) HandleRequest(ctx context.Context, _ heartbeater.Instance, _ relayer.Message, _ *relayer.Reply) error {
	<-ctx.Done()
	return ctx.Err()
}

func (unresponsiveHandler) HandleHeartbeat(heartbeater.Instance, relayer.Beat) {}

// unavailableStore is a store that does not answer.
type unavailableStore struct{ storer.Store }

var errUnavailable = errors.New("store is unavailable")

func (unavailableStore) Get(context.Context, string) ([]byte, error) { return nil, errUnavailable }

// The platform is unavailable, and a peer of another failure domain accepts requests
// but never answers. The loop that polls the settings requests an object from that
// peer; since it also renews the lease of this instance, it must not block.
func TestUnresponsivePeerDoesNotBlockObjectRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &relayer.Mesh{Handler: unresponsiveHandler{}, Secret: func() string { return "" }}
	r := router.New()
	r.GET(relayer.Path, peer.Serve)
	served := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = served.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	mesh := &relayer.Mesh{
		Handler: unresponsiveHandler{}, Secret: func() string { return "" },
		Self: func() heartbeater.Instance { return heartbeater.Instance{ID: "a"} },
	}
	address := l.Addr().String()
	store := &server.ChainStore{Peers: func() []string { return []string{address} }, Mesh: mesh, Store: unavailableStore{}}
	got := make(chan error, 1)
	go func() {
		_, err := store.Get(t.Context(), "key")
		got <- err
	}()
	select {
	case err := <-got:
		if !errors.Is(err, errUnavailable) {
			t.Errorf("got %v, want the error of the unavailable store", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("still waiting for the peer after 20 s")
	}
	if _, linked := mesh.Linked(address); linked {
		t.Error("the link to the unresponsive peer was not closed")
	}
}

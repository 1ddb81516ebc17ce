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

// silent takes what peers ask and never answers.
type silent struct{}

func (silent) Answer(ctx context.Context, _ heartbeater.Instance, _ relayer.Message, _ *relayer.Reply) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silent) Heard(heartbeater.Instance, relayer.Beat) {}

// away is a store that does not answer.
type away struct{ storer.Store }

var errAway = errors.New("away")

func (away) Get(context.Context, string) ([]byte, error) { return nil, errAway }

// The platform is away, and a peer of another failure domain takes what it is asked
// and answers nothing. The loop that looks for new settings asks it for a file of
// theirs; the same loop renews the lease of this instance, and must get on.
func TestSilentPeerDoesNotHoldUpWhoeverAsksForAnObject(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &relayer.Mesh{Handler: silent{}, Secret: func() string { return "" }}
	r := router.New()
	r.GET(relayer.Path, peer.Serve)
	served := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = served.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	mesh := &relayer.Mesh{
		Handler: silent{}, Secret: func() string { return "" },
		Self: func() heartbeater.Instance { return heartbeater.Instance{ID: "a"} },
	}
	address := l.Addr().String()
	store := &server.ChainStore{Peers: func() []string { return []string{address} }, Mesh: mesh, Store: away{}}
	got := make(chan error, 1)
	go func() {
		_, err := store.Get(t.Context(), "key")
		got <- err
	}()
	select {
	case err := <-got:
		if !errors.Is(err, errAway) {
			t.Errorf("got %v, want that the store is away", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("still waits for the peer after 20 s")
	}
	if _, linked := mesh.Linked(address); linked {
		t.Error("the silent link is kept")
	}
}

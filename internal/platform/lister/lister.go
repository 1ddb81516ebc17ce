// Package lister reaches the platform's list of live and leaving instances.
// The list lags: what it says was true some seconds ago.
package lister

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// A Lister is the platform's list.
type Lister interface {
	// Announce tells the platform that this instance runs. It is repeated; an
	// instance that stops announcing drops off the list.
	Announce(ctx context.Context, i heartbeater.Instance) error
	// List returns the instances that the platform lists.
	List(ctx context.Context) ([]heartbeater.Instance, error)
}

// The paths of the instance list.
const (
	PathAnnounce = "/instance/announce"
	PathList     = "/instance/list"
)

// A Client reaches the list over HTTP with CBOR bodies. Its fields are set
// before use.
type Client struct {
	Address string        // host:port
	Timeout time.Duration // for one call
}

var _ Lister = (*Client)(nil)

// Announce implements Lister.
func (c *Client) Announce(ctx context.Context, i heartbeater.Instance) error {
	_, err := c.call(ctx, PathAnnounce, i)
	return err
}

// List implements Lister.
func (c *Client) List(ctx context.Context) ([]heartbeater.Instance, error) {
	body, err := c.call(ctx, PathList, nil)
	if err != nil {
		return nil, err
	}
	var instances []heartbeater.Instance
	err = encoder.Unmarshal(body, &instances)
	return instances, err
}

func (c *Client) call(ctx context.Context, path string, body any) ([]byte, error) {
	var r requester.Requester
	status, answer, seen := r.Post(ctx, c.Timeout, c.Address, path, body)
	if seen != nil {
		return nil, judge.Judge(seen)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("instance list: status %d", status)
	}
	return answer, nil
}

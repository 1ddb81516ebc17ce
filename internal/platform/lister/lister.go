// Package lister is the client of the platform's list of live and draining
// instances. The list is eventually consistent and lags by some seconds.
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

// A Lister accesses the platform's instance list.
type Lister interface {
	// Announce reports to the platform that this instance runs, drains or has
	// stopped. It is repeated while the instance runs.
	Announce(ctx context.Context, a Announcement) error
	// List returns the instances on the platform's list.
	List(ctx context.Context) ([]heartbeater.Instance, error)
}

// An Announcement is an instance's report of itself to the platform. The
// platform lists an instance for as long as its process exists: one that is
// paused or partitioned stays listed, one that has stopped or crashed is removed.
type Announcement struct {
	Instance heartbeater.Instance `cbor:"1,keyasint"`
	Process  int                  `cbor:"2,keyasint"` // process ID, by which the platform's agent identifies the process
	Stopped  bool                 `cbor:"3,keyasint"` // the instance has stopped, even if its process still exists
}

// The paths of the instance list.
const (
	PathAnnounce = "/instance/announce"
	PathList     = "/instance/list"
)

// A Client is a Lister over HTTP with CBOR bodies. Its fields are set before
// use.
type Client struct {
	Address string        // host:port
	Timeout time.Duration // of one call
}

var _ Lister = (*Client)(nil)

// Announce implements Lister.
func (c *Client) Announce(ctx context.Context, a Announcement) error {
	_, err := c.call(ctx, PathAnnounce, a)
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
	status, response, observation := r.Post(ctx, c.Timeout, c.Address, path, body)
	if observation != nil {
		return nil, judge.Judge(observation)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("instance list: status %d", status)
	}
	return response, nil
}

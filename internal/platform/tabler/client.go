package tabler

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// The paths of the table service.
const (
	PathCommit = "/table/commit"
	PathGet    = "/table/get"
	PathScan   = "/table/scan"
)

// A Client is a Table over HTTP with CBOR bodies. Its fields are set before use.
type Client struct {
	Address string        // host:port
	Timeout time.Duration // of one call
}

var _ Table = (*Client)(nil)

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	status, body, observation := c.call(ctx, PathCommit, txn)
	if observation != nil {
		return commitError(judge.Judge(observation))
	}
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return &ConflictError{Key: string(body)}
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return &UnavailableError{Err: statusError(status)}
	default:
		return &UnknownError{Err: statusError(status)}
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.read(ctx, PathGet, key, &row)
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.read(ctx, PathScan, prefix, &rows)
	return rows, err
}

func (c *Client) call(ctx context.Context, path string, body any) (int, []byte, judge.Observation) {
	var r requester.Requester
	return r.Post(ctx, c.Timeout, c.Address, path, body)
}

func (c *Client) read(ctx context.Context, path, key string, into any) error {
	status, body, observation := c.call(ctx, path, key)
	if observation != nil {
		return &UnavailableError{Err: judge.Judge(observation)}
	}
	if status != fasthttp.StatusOK {
		return &UnavailableError{Err: statusError(status)}
	}
	return encoder.Unmarshal(body, into)
}

func commitError(err *judge.Error) error {
	if err.Verdict == judge.NotRun {
		return &UnavailableError{Err: err}
	}
	return &UnknownError{Err: err}
}

func statusError(status int) error {
	return fmt.Errorf("status %d %s", status, fasthttp.StatusMessage(status))
}

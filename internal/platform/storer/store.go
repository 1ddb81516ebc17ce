// Package storer is the client of the platform's object store. Objects are
// written once under a key derived from their content, so that retrying a write
// whose response was lost is idempotent.
package storer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// A Store is an object store. Client accesses the platform's store, Memory keeps
// objects in memory, and DryRun discards writes.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put writes an object. A failed Put may have taken effect.
	Put(ctx context.Context, key string, data []byte) error
}

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("no such object")

// PathObject is the path under which the object store keeps objects.
const PathObject = "/object/"

// A Client is a Store over HTTP. Its fields are set before use.
type Client struct {
	Address string        // host:port
	Timeout time.Duration // of one call
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, key, nil)
	if err == nil && status == fasthttp.StatusNotFound {
		return nil, ErrNotFound
	}
	return body, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	_, _, err := c.call(ctx, fasthttp.MethodPut, key, data)
	return err
}

func (c *Client) call(ctx context.Context, method, key string, data []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.Address + PathObject + key)
	request.SetBody(data)
	var r requester.Requester
	status, body, observation := r.ReadAll(ctx, c.Address, request)
	if observation != nil {
		return 0, nil, judge.Judge(observation)
	}
	if status >= fasthttp.StatusInternalServerError {
		return status, nil, fmt.Errorf("object store: status %d", status)
	}
	return status, body, nil
}

// A DryRun store reads from another Store and discards writes, for dry runs.
type DryRun struct{ Store Store }

var _ Store = (*DryRun)(nil)

// Get implements Store.
func (d *DryRun) Get(ctx context.Context, key string) ([]byte, error) { return d.Store.Get(ctx, key) }

// Put implements Store.
func (d *DryRun) Put(context.Context, string, []byte) error { return nil }

// A Memory is an in-memory Store. Its zero value is ready to use; it is safe for
// concurrent use.
type Memory struct {
	mu      sync.Mutex
	objects map[string][]byte
}

var _ Store = (*Memory)(nil)

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.objects[key]
	if !ok {
		return nil, ErrNotFound
	}
	return data, nil
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, key string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string][]byte)
	}
	m.objects[key] = append([]byte(nil), data...)
	return nil
}

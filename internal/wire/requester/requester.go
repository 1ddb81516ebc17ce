// Package requester sends each HTTP request on a connection of its own and
// reports exactly how far it got.
//
// The verdict on a failed request depends on whether any byte of it was sent.
// The connection pool of an HTTP client hides that: it retries on its own and
// reuses connections that the peer may be closing. Here every request dials,
// writes and reads once. The connection is closed with the request, which is
// also how a request is cancelled.
package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/responsereader"
)

// A Requester sends requests. Its fields are set before use; the zero value
// works.
type Requester struct {
	DialTimeout time.Duration // 0 means dialTimeout
	MaxBodySize int           // maximum body that ReadAll and Post read, in bytes; 0 means bodyLimit
}

const (
	bodyLimit   = 8 << 20
	dialTimeout = 2 * time.Second
	bufferSize  = 4096
)

// A Response is a response whose body may be a stream.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   io.Reader

	close        func()
	bytesWritten func() int
}

// BodyError returns the observation for a body that could not be read completely.
func (r *Response) BodyError(err error) judge.Observation {
	return responsereader.Observe(judge.Broken{Written: r.bytesWritten(), Head: true, Err: err})
}

// Close closes the connection. It may be called more than once.
func (r *Response) Close() { r.close() }

// Do sends a request to a host:port. The connection is closed when ctx ends. If
// there is no response, the observation says how far the request got.
func (r *Requester) Do(ctx context.Context, address string, request *fasthttp.Request) (*Response, judge.Observation) {
	dialer := net.Dialer{Timeout: r.dialTimeout()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, judge.DialFailed{Err: err}
	}
	counting := &countingConn{Conn: conn}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	closeAll := func() {
		stop()
		_ = conn.Close()
	}
	response, err := exchange(counting, request)
	if err != nil {
		closeAll()
		return nil, responsereader.Observe(judge.Broken{Written: counting.bytesWritten(), Err: err})
	}
	response.close = closeAll
	response.bytesWritten = counting.bytesWritten
	return response, nil
}

// Post sends a value as CBOR to a path and reads the complete response, all
// within the timeout.
func (r *Requester) Post(ctx context.Context, timeout time.Duration, address, path string, value any) (int, []byte, judge.Observation) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := encoder.Marshal(value)
	if err != nil {
		return 0, nil, judge.DialFailed{Err: err}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(data)
	return r.ReadAll(ctx, address, request)
}

// ReadAll sends a request and reads the complete body. One beyond MaxBodySize is an error.
func (r *Requester) ReadAll(ctx context.Context, address string, request *fasthttp.Request) (int, []byte, judge.Observation) {
	response, observation := r.Do(ctx, address, request)
	if observation != nil {
		return 0, nil, observation
	}
	defer response.Close()
	body, err := bodyreader.ReadAll(response.Body, int64(r.bodyLimit()))
	if err != nil {
		return 0, nil, response.BodyError(err)
	}
	return response.Status, body, nil
}

func (r *Requester) bodyLimit() int {
	if r.MaxBodySize > 0 {
		return r.MaxBodySize
	}
	return bodyLimit
}

func (r *Requester) dialTimeout() time.Duration {
	if r.DialTimeout > 0 {
		return r.DialTimeout
	}
	return dialTimeout
}

// exchange writes the request and reads the header of the response.
func exchange(conn net.Conn, request *fasthttp.Request) (*Response, error) {
	writer := bufio.NewWriterSize(conn, bufferSize)
	if err := request.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	response, err := responsereader.Read(bufio.NewReaderSize(conn, bufferSize), request.Header.IsHead())
	if err != nil {
		return nil, err
	}
	return &Response{Status: response.Status, Header: response.Header, Body: response.Body}, nil
}

// A countingConn counts the bytes that the kernel accepted.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *countingConn) bytesWritten() int { return int(c.written.Load()) }

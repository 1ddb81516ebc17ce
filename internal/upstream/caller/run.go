package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// Headers of requests to and responses from an engine.
const (
	headerAdapter  = "X-Adapter"
	headerPriority = "X-Priority"
	headerRequest  = "X-Request-Id"
)

// maxResponseSize bounds a response that is not streamed, and one line of a stream, in bytes.
const maxResponseSize = 8 << 20

// doneEvent is the data of the event that ends a complete stream.
const doneEvent = "[DONE]"

// Run sends a call to an engine with the handle as the model and forwards the
// response. The adapter of the response is checked before its first byte goes to the
// sink, so that a response of the wrong adapter never reaches a caller.
func Run(ctx context.Context, address, handle string, call *streamer.Call, head streamer.Head, sink streamer.Sink) error {
	return withContextReason(ctx, run(ctx, address, handle, call, head, sink))
}

// withContextReason replaces the reason of an error by the deadline or the
// cancellation if ctx has ended. The verdict stays as observed.
func withContextReason(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	judged := *judge.As(err)
	judged.Reason = judge.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		judged.Reason = judge.ReasonDeadline
	}
	return &judged
}

func run(ctx context.Context, address, handle string, call *streamer.Call, head streamer.Head, sink streamer.Sink) error {
	request, err := engineRequest(address, handle, call)
	if err != nil {
		return judge.Refuse(judge.ReasonBody, "%v", err)
	}
	var r requester.Requester
	response, observed := r.Do(ctx, address, request)
	if observed != nil {
		return judge.Judge(observed)
	}
	defer response.Close()
	if response.Status == fasthttp.StatusConflict || response.Status == fasthttp.StatusTooManyRequests {
		return judge.Judge(judge.Refused{Status: response.Status})
	}
	if response.Status != fasthttp.StatusOK {
		return judge.Judge(judge.Failed{Status: response.Status})
	}
	if got := string(response.Header.Peek(headerAdapter)); got != call.Adapter {
		return judge.Judge(judge.Mismatched{Want: call.Adapter, Got: got})
	}
	head.Status = response.Status
	head.ContentType = string(response.Header.ContentType())
	head.Adapter = call.Adapter
	copier := &responseCopier{response: response, call: call, handle: handle, head: head, sink: sink}
	if call.Stream {
		return copier.copyStream()
	}
	return copier.copyComplete()
}

// RunPlain sends a call to a plain service and forwards the response unchanged.
func RunPlain(ctx context.Context, address string, call *streamer.Call, sink streamer.Sink) error {
	return withContextReason(ctx, runPlain(ctx, address, call, sink))
}

func runPlain(ctx context.Context, address string, call *streamer.Call, sink streamer.Sink) error {
	request := &fasthttp.Request{}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	request.Header.SetMethod(call.Method)
	request.Header.Set(headerRequest, call.ID)
	request.SetRequestURI("http://" + address + call.Path)
	request.SetBody(call.Body)
	var r requester.Requester
	response, observed := r.Do(ctx, address, request)
	if observed != nil {
		return judge.Judge(observed)
	}
	defer response.Close()
	body, err := bodyreader.ReadAll(response.Body, maxResponseSize)
	if err != nil {
		return judge.Judge(response.BodyError(err))
	}
	head := streamer.Head{Status: response.Status, ContentType: string(response.Header.ContentType()), Runner: call.Runner}
	return deliver(sink, head, body)
}

func deliver(sink streamer.Sink, head streamer.Head, body []byte) error {
	if err := sink.Head(head); err != nil {
		return cancelled(err)
	}
	if err := sink.Data(body); err != nil {
		return cancelled(err)
	}
	return nil
}

func cancelled(err error) error {
	return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonCancelled, Message: fmt.Sprintf("the caller went away: %v", err)}
}

func engineRequest(address, handle string, call *streamer.Call) (*fasthttp.Request, error) {
	var body map[string]json.RawMessage
	if err := json.Unmarshal(call.Body, &body); err != nil {
		return nil, err
	}
	body["model"] = json.RawMessage(strconv.Quote(handle))
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerRequest, call.ID)
	request.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	request.SetRequestURI("http://" + address + call.Path)
	request.SetBody(data)
	return request, nil
}

// A responseCopier copies one response from the engine to the sink.
type responseCopier struct {
	response *requester.Response
	call     *streamer.Call
	handle   string
	head     streamer.Head
	sink     streamer.Sink
}

// checkModel verifies that the model named in a response or an event of it is the handle.
func (c *responseCopier) checkModel(data []byte) error {
	var part struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &part); err != nil {
		return judge.Judge(c.response.BodyError(err))
	}
	if part.Model != c.handle {
		return judge.Judge(judge.Mismatched{Want: c.handle, Got: part.Model})
	}
	return nil
}

// restoreModel replaces the handle in the response by the adapter name that the caller requested.
func (c *responseCopier) restoreModel(data []byte) []byte {
	return bytes.Replace(data, []byte(strconv.Quote(c.handle)), []byte(strconv.Quote(c.call.Adapter)), 1)
}

func (c *responseCopier) copyStream() error {
	scanner := bufio.NewScanner(c.response.Body)
	scanner.Buffer(nil, maxResponseSize)
	first := true
	for scanner.Scan() {
		data, isEvent := strings.CutPrefix(scanner.Text(), "data: ")
		if !isEvent {
			continue
		}
		if data == doneEvent {
			return nil
		}
		if first {
			if err := c.checkModel([]byte(data)); err != nil {
				return err
			}
			if err := c.sink.Head(c.head); err != nil {
				return cancelled(err)
			}
			first = false
		}
		if err := c.sink.Data(c.restoreModel([]byte(data))); err != nil {
			return cancelled(err)
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return judge.Judge(c.response.BodyError(err))
}

func (c *responseCopier) copyComplete() error {
	body, err := bodyreader.ReadAll(c.response.Body, maxResponseSize)
	if err != nil {
		return judge.Judge(c.response.BodyError(err))
	}
	if err := c.checkModel(body); err != nil {
		return err
	}
	return deliver(c.sink, c.head, c.restoreModel(body))
}

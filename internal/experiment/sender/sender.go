// Package sender simulates the callers: it sends the calls of a workload to entry
// instances through the public API and records what each caller saw.
package sender

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/request/answerer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// A Sender sends calls. Its fields are set before Run.
type Sender struct {
	Addresses func() [][]string // of the entry instances in rotation, by failure domain
	Key       string            // API key
	Service   string            // name of the plain service
	OnResult  func(Result)      // called when a call has ended; may be nil
}

// A Result is the outcome of a call as its caller saw it.
type Result struct {
	Call      sampler.Call
	Status    int // 0 if there was no response
	Text      string
	Complete  bool // the response ended as a complete one does
	Verdict   judge.Verdict
	Reason    judge.Reason
	SentAt    time.Time
	Duration  time.Duration
	FirstByte time.Duration // time to the first byte of the response
	Stall     time.Duration // as reported in the response headers
	Runner    string
	Err       string
}

// clientGrace is how long a caller waits after its deadline.
const clientGrace = 10 * time.Second

// Run sends the calls at their times and returns the results in the order of the
// calls. If ctx is cancelled it returns those of the calls sent so far.
func (s *Sender) Run(ctx context.Context, calls []sampler.Call) []Result {
	results := make([]Result, len(calls))
	begin := time.Now()
	var sent sync.WaitGroup
	for i := range calls {
		select {
		case <-ctx.Done():
			sent.Wait()
			return results[:i]
		case <-time.After(time.Until(begin.Add(calls[i].At))):
		}
		sent.Go(func() {
			results[i] = s.send(ctx, &calls[i], i)
			if s.OnResult != nil {
				s.OnResult(results[i])
			}
		})
	}
	sent.Wait()
	return results
}

// send sends one call. Like a caller behind a load balancer it tries the next
// address if it cannot connect, since then no request was sent.
func (s *Sender) send(ctx context.Context, call *sampler.Call, index int) Result {
	result := Result{Call: *call, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline+clientGrace)
	defer cancel()
	for _, address := range s.order(call, index) {
		var r requester.Requester
		response, observation := r.Do(ctx, address, s.request(call, address))
		if _, notDialed := observation.(judge.DialFailed); notDialed {
			continue
		}
		if observation != nil {
			result.setError(judge.Judge(observation))
			break
		}
		result.readResponse(response)
		response.Close()
		break
	}
	result.Duration = time.Since(result.SentAt)
	return result
}

// order returns the addresses to try: those of the caller's domain in round-robin
// order, then those of the other domains.
func (s *Sender) order(call *sampler.Call, index int) []string {
	var order []string
	domains := s.Addresses()
	for d := range domains {
		domain := domains[(call.HomeDomain+d)%len(domains)]
		for i := range domain {
			order = append(order, domain[(index+i)%len(domain)])
		}
	}
	return order
}

func (s *Sender) request(call *sampler.Call, address string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.Header.SetMethod(fasthttp.MethodPost)
	r.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.Key)
	r.Header.Set(answerer.HeaderDeadline, call.Deadline.String())
	r.Header.Set(answerer.HeaderPriority, strconv.Itoa(call.Priority))
	r.Header.Set(answerer.HeaderOnce, strconv.FormatBool(call.Once))
	if call.IdempotencyKey != "" {
		r.Header.Set(answerer.HeaderKey, call.IdempotencyKey)
	}
	if call.Adapter == "" {
		r.SetRequestURI("http://" + address + answerer.PathServices + s.Service + "/records/" + call.Marker)
		r.SetBodyString(call.Marker)
		return r
	}
	r.Header.SetContentType("application/json")
	r.SetRequestURI("http://" + address + answerer.PathChat)
	r.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		call.Adapter, call.Stream, call.Tokens, call.Marker))
	return r
}

func (r *Result) setError(err *judge.Error) {
	r.Verdict = err.Verdict
	r.Reason = err.Reason
	r.Err = err.Message
}

func (r *Result) readResponse(response *requester.Response) {
	r.Status = response.Status
	r.Runner = string(response.Header.Peek(answerer.HeaderRunner))
	r.Stall, _ = time.ParseDuration(string(response.Header.Peek(answerer.HeaderStall))) // 0 if absent
	r.FirstByte = time.Since(r.SentAt)
	if response.Status < fasthttp.StatusBadRequest && strings.HasPrefix(string(response.Header.ContentType()), "text/event-stream") {
		r.readStream(response)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.setError(judge.Judge(response.BodyError(err)))
		return
	}
	r.readBody(body)
}

func (r *Result) readBody(body []byte) {
	if r.Status >= fasthttp.StatusBadRequest {
		var f answerer.Failure
		if err := json.Unmarshal(body, &f); err != nil {
			r.setError(judge.As(err))
			return
		}
		r.setError(&judge.Error{Verdict: f.Error.Verdict, Reason: f.Error.Reason, Message: f.Error.Message})
		return
	}
	r.Verdict = judge.Ran
	r.Complete = true
	r.Text = string(body)
	var decoded completion
	if json.Unmarshal(body, &decoded) == nil && len(decoded.Choices) > 0 {
		r.Text = decoded.Choices[0].Message.Content
	}
}

// A completion is a complete response body or one chunk of a stream.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Error *answerer.Detail
}

func (r *Result) readStream(response *requester.Response) {
	r.Verdict = judge.MayHaveRun
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Verdict = judge.Ran
			r.Complete = true
			return
		}
		var chunk completion
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			r.Err = err.Error()
			return
		}
		if chunk.Error != nil {
			r.setError(&judge.Error{Verdict: chunk.Error.Verdict, Reason: chunk.Error.Reason, Message: chunk.Error.Message})
			return
		}
		for _, c := range chunk.Choices {
			r.Text += c.Delta.Content
		}
	}
	r.Reason = judge.ReasonCut
}

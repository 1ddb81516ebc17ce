package generator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A sequence is a request that is queued or running in the engine.
type sequence struct {
	engine      string // incarnation
	handle      string
	marker      string // adapter and marker of the prompt, repeated in every token
	priority    int
	recordIndex int // index into Record.Runs
	tokens      chan string
	total       int

	mu      sync.Mutex
	done    bool
	emitted int
}

// A completionRequest holds the fields of a request that the engine uses.
type completionRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Max      int    `json:"max_tokens"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// marker returns the content of the last message. Every token repeats it, so that a
// caller can distinguish its own response from another's.
func (request *completionRequest) marker() string {
	if len(request.Messages) > 0 {
		return request.Messages[len(request.Messages)-1].Content
	}
	return request.Prompt
}

// defaultTokens is the length of a response if the request does not set one.
const defaultTokens = 16

// abort ends the sequence before its last token is emitted.
func (s *sequence) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.done = true
		close(s.tokens)
	}
}

// emit emits the next token and reports whether it was the last one.
func (s *sequence) emit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.emitted++
	s.tokens <- fmt.Sprintf("%s:%d/%d ", s.marker, s.emitted, s.total)
	if s.emitted < s.total {
		return false
	}
	s.done = true
	close(s.tokens)
	return true
}

func (s *sequence) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// handleCompletion responds to a completion request, as a stream of server-sent events or
// in one body.
func (e *Engine) handleCompletion(c *fasthttp.RequestCtx) {
	var request completionRequest
	if !listener.DecodeJSON(c, &request) {
		return
	}
	s, cutAt, ok := e.enqueue(&request, c)
	if !ok {
		c.Error("not resident, full or leaving", fasthttp.StatusConflict)
		return
	}
	c.Response.Header.Set(HeaderAdapter, adapterOf(request.Model))
	c.Response.Header.Set(HeaderEngine, s.engine)
	chat := string(c.Path()) == PathChat
	if !request.Stream {
		writeComplete(c, s, request.Model, chat)
		return
	}
	c.SetContentType("text/event-stream")
	conn := c.Conn() // the writer may run after the request's context has been released
	c.SetBodyStreamWriter(func(w *bufio.Writer) { writeStream(w, conn, s, request.Model, chat, cutAt) })
}

// enqueue queues a request, unless its adapter is not resident or a fault rejects
// it. The int is the token at which to truncate the stream, or 0.
func (e *Engine) enqueue(request *completionRequest, c *fasthttp.RequestCtx) (*sequence, int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident[request.Model] {
		return nil, 0, false
	}
	if e.faults.Refuse > 0 {
		e.faults.Refuse--
		return nil, 0, false
	}
	s := newSequence(request)
	s.engine = e.incarnation()
	s.priority, _ = strconv.Atoi(string(c.Request.Header.Peek(HeaderPriority))) // 0 if absent
	s.recordIndex = len(e.record.Runs)
	e.record.Runs = append(e.record.Runs, Run{
		Request:    string(c.Request.Header.Peek(HeaderRequest)),
		Marker:     request.marker(),
		Adapter:    adapterOf(request.Model),
		AcceptedAt: time.Now(),
	})
	e.waiting = append(e.waiting, s)
	if request.marker() == CrashMarker {
		time.AfterFunc(e.Step, e.crash)
	}
	cutAt := 0
	if e.faults.Cut > 0 {
		e.faults.Cut--
		cutAt = 1 + s.total/2
	}
	return s, cutAt, true
}

func newSequence(request *completionRequest) *sequence {
	s := &sequence{handle: request.Model, total: request.Max, marker: adapterOf(request.Model) + "|" + request.marker()}
	if s.total <= 0 {
		s.total = defaultTokens
	}
	s.tokens = make(chan string, s.total)
	return s
}

// writeStream writes the tokens as server-sent events, without the final [DONE] if
// the sequence was aborted. If a write fails, the caller has disconnected.
func writeStream(w *bufio.Writer, conn net.Conn, s *sequence, model string, chat bool, cutAt int) {
	defer s.abort()
	written := 0
	for token := range s.tokens {
		written++
		if written == cutAt {
			_ = conn.Close()
			return
		}
		data, _ := json.Marshal(chunk(model, token, chat)) // strings and maps always encode
		fmt.Fprintf(w, "data: %s\n\n", data)
		if w.Flush() != nil {
			return
		}
	}
	if written == s.total {
		fmt.Fprint(w, "data: [DONE]\n\n")
		_ = w.Flush()
	}
}

func writeComplete(c *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	var text string
	received := 0
	for token := range s.tokens {
		text += token
		received++
	}
	if received < s.total {
		c.Error("cut", fasthttp.StatusInternalServerError)
		return
	}
	data, _ := json.Marshal(completion(model, text, chat)) // strings and maps always encode
	c.SetContentType("application/json")
	c.SetBody(data)
}

func completion(model, text string, chat bool) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	object := "text_completion"
	if chat {
		choice = map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text}}
		object = "chat.completion"
	}
	return map[string]any{"id": "run", "object": object, "created": time.Now().Unix(), "model": model, "choices": []any{choice}}
}

func chunk(model, token string, chat bool) map[string]any {
	choice := map[string]any{"index": 0, "text": token}
	object := "text_completion"
	if chat {
		choice = map[string]any{"index": 0, "delta": map[string]string{"content": token}}
		object = "chat.completion.chunk"
	}
	return map[string]any{"id": "run", "object": object, "created": time.Now().Unix(), "model": model, "choices": []any{choice}}
}

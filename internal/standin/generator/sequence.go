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

// A sequence is one request in the engine.
type sequence struct {
	engine      string // incarnation
	handle      string
	marker      string // from the prompt, comes back in every token
	priority    int
	recordIndex int // place in the books
	tokens      chan string
	total       int

	mu      sync.Mutex
	done    bool
	emitted int
}

// A prompt is the part of a request that the engine reads.
type completionRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Max      int    `json:"max_tokens"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// marker returns the last thing that the caller said. It comes back in every
// token, so that a caller can tell its own answer from another's.
func (p *completionRequest) marker() string {
	if len(p.Messages) > 0 {
		return p.Messages[len(p.Messages)-1].Content
	}
	return p.Prompt
}

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 16

// abort ends the sequence before its last token.
func (s *sequence) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.done = true
		close(s.tokens)
	}
}

// emit gives the next token and reports whether it was the last.
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

// handleCompletion answers a completion, as a stream of server-sent events or whole.
func (e *Engine) handleCompletion(c *fasthttp.RequestCtx) {
	var p completionRequest
	if !listener.Decode(c, &p) {
		return
	}
	s, cutAt, ok := e.enqueue(&p, c)
	if !ok {
		c.Error("not resident, full or leaving", fasthttp.StatusConflict)
		return
	}
	c.Response.Header.Set(HeaderAdapter, adapterOf(p.Model))
	c.Response.Header.Set(HeaderEngine, s.engine)
	chat := string(c.Path()) == PathChat
	if !p.Stream {
		writeComplete(c, s, p.Model, chat)
		return
	}
	c.SetContentType("text/event-stream")
	conn := c.Conn() // the writer may outlive the request's context
	c.SetBodyStreamWriter(func(w *bufio.Writer) { writeStream(w, conn, s, p.Model, chat, cutAt) })
}

// enqueue puts a request into the engine unless it is refused.
func (e *Engine) enqueue(p *completionRequest, c *fasthttp.RequestCtx) (*sequence, int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident[p.Model] {
		return nil, 0, false
	}
	if e.faults.Refuse > 0 {
		e.faults.Refuse--
		return nil, 0, false
	}
	s := newSequence(p)
	s.engine = e.incarnation()
	s.priority, _ = strconv.Atoi(string(c.Request.Header.Peek(HeaderPriority))) // none is 0
	s.recordIndex = len(e.record.Runs)
	e.record.Runs = append(e.record.Runs, Run{
		Request:   string(c.Request.Header.Peek(HeaderRequest)),
		Marker:    p.marker(),
		Adapter:   adapterOf(p.Model),
		StartedAt: time.Now(),
	})
	e.waiting = append(e.waiting, s)
	if p.marker() == CrashMarker {
		time.AfterFunc(e.Step, e.crash)
	}
	cutAt := 0
	if e.faults.Cut > 0 {
		e.faults.Cut--
		cutAt = 1 + s.total/2
	}
	return s, cutAt, true
}

func newSequence(p *completionRequest) *sequence {
	s := &sequence{handle: p.Model, total: p.Max, marker: adapterOf(p.Model) + "|" + p.marker()}
	if s.total <= 0 {
		s.total = defaultTokens
	}
	s.tokens = make(chan string, s.total)
	return s
}

// writeStream writes the tokens as server-sent events. It ends without [DONE] if
// the sequence was cut. A write that fails is a caller that went away.
func writeStream(w *bufio.Writer, conn net.Conn, s *sequence, model string, chat bool, cutAt int) {
	defer s.abort()
	given := 0
	for token := range s.tokens {
		given++
		if given == cutAt {
			_ = conn.Close()
			return
		}
		data, _ := json.Marshal(chunk(model, token, chat)) // strings and maps always encode
		fmt.Fprintf(w, "data: %s\n\n", data)
		if w.Flush() != nil {
			return
		}
	}
	if given == s.total {
		fmt.Fprint(w, "data: [DONE]\n\n")
		_ = w.Flush()
	}
}

func writeComplete(c *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	var text string
	given := 0
	for token := range s.tokens {
		text += token
		given++
	}
	if given < s.total {
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

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
	engine   string // incarnation
	handle   string
	marker   string // from the prompt, comes back in every token
	priority int
	run      int // place in the books
	tokens   chan string
	total    int

	mu    sync.Mutex
	done  bool
	given int
}

// A prompt is the part of a request that the engine reads.
type prompt struct {
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
func (p *prompt) marker() string {
	if len(p.Messages) > 0 {
		return p.Messages[len(p.Messages)-1].Content
	}
	return p.Prompt
}

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 16

// cut ends the sequence before its last token.
func (s *sequence) cut() {
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
	s.given++
	s.tokens <- fmt.Sprintf("%s:%d/%d ", s.marker, s.given, s.total)
	if s.given < s.total {
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

// complete answers a completion, as a stream of server-sent events or whole.
func (e *Engine) complete(c *fasthttp.RequestCtx) {
	var p prompt
	if !listener.Decode(c, &p) {
		return
	}
	s, cutAt, ok := e.enter(&p, c)
	if !ok {
		c.Error("not resident, full or leaving", fasthttp.StatusConflict)
		return
	}
	c.Response.Header.Set(HeaderAdapter, adapterOf(p.Model))
	c.Response.Header.Set(HeaderEngine, s.engine)
	chat := string(c.Path()) == PathChat
	if !p.Stream {
		whole(c, s, p.Model, chat)
		return
	}
	c.SetContentType("text/event-stream")
	conn := c.Conn() // the writer may outlive the request's context
	c.SetBodyStreamWriter(func(w *bufio.Writer) { stream(w, conn, s, p.Model, chat, cutAt) })
}

// enter puts a request into the engine unless it is refused.
func (e *Engine) enter(p *prompt, c *fasthttp.RequestCtx) (*sequence, int, bool) {
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
	s.run = len(e.books.Runs)
	e.books.Runs = append(e.books.Runs, Run{
		Request: string(c.Request.Header.Peek(HeaderRequest)),
		Marker:  p.marker(),
		Adapter: adapterOf(p.Model),
		Began:   time.Now(),
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

func newSequence(p *prompt) *sequence {
	s := &sequence{handle: p.Model, total: p.Max, marker: adapterOf(p.Model) + "|" + p.marker()}
	if s.total <= 0 {
		s.total = defaultTokens
	}
	s.tokens = make(chan string, s.total)
	return s
}

// stream writes the tokens as server-sent events. It ends without [DONE] if
// the sequence was cut. A write that fails is a caller that went away.
func stream(w *bufio.Writer, conn net.Conn, s *sequence, model string, chat bool, cutAt int) {
	defer s.cut()
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

func whole(c *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
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
	data, _ := json.Marshal(answer(model, text, chat)) // strings and maps always encode
	c.SetContentType("application/json")
	c.SetBody(data)
}

func answer(model, text string, chat bool) map[string]any {
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

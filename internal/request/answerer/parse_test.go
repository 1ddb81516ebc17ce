package answerer

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
)

func newResolver() *resolver.Resolver {
	return resolver.New(&parser.Tree{
		Services: []parser.Service{{Name: "llm", Type: parser.TypeEngine}, {Name: "records", Type: parser.TypePlain}},
		Accounts: []parser.Account{{Name: "gujarat", Adapters: []parser.Group{{Name: "mill", Count: 3, Versions: []int{1}, Service: "llm"}}}},
	})
}

func TestParseHeaders(t *testing.T) {
	for _, tc := range []struct {
		name, header, value string
		reason              judge.Reason // empty if accepted
		check               func(call *streamer.Call) bool
	}{
		{"seconds", HeaderDeadline, "2.5", "", func(c *streamer.Call) bool { return c.TimeLeft == 2500*time.Millisecond }},
		{"duration", HeaderDeadline, "150ms", "", func(c *streamer.Call) bool { return c.TimeLeft == 150*time.Millisecond }},
		{"no deadline", "X-Other", "x", "", func(c *streamer.Call) bool { return c.TimeLeft == time.Minute }},
		{"bad deadline", HeaderDeadline, "soon", judge.ReasonHeader, nil},
		{"past deadline", HeaderDeadline, "-1s", judge.ReasonHeader, nil},
		{"once", HeaderOnce, "true", "", func(c *streamer.Call) bool { return c.NonIdempotent }},
		{"bad once", HeaderOnce, "yes", judge.ReasonHeader, nil},
		{"priority", HeaderPriority, "-3", "", func(c *streamer.Call) bool { return c.Priority == -3 }},
		{"bad priority", HeaderPriority, "11", judge.ReasonHeader, nil},
		{"long key", HeaderKey, strings.Repeat("k", 256), judge.ReasonHeader, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c fasthttp.RequestCtx
			c.Request.Header.Set(tc.header, tc.value)
			var call streamer.Call
			refusal := parseHeaders(&c, &call, resolver.Effective{Deadline: time.Minute})
			switch {
			case refusal != nil && (refusal.Reason != tc.reason || refusal.Verdict != judge.NotRun):
				t.Errorf("refused with %v", refusal)
			case refusal == nil && (tc.reason != "" || !tc.check(&call)):
				t.Errorf("accepted as %+v", call)
			}
		})
	}
}

// Guards against a POST to a plain service that is retried although its caller did
// not allow it: it may create a record.
func TestPlainPostIsNotIdempotent(t *testing.T) {
	for method, want := range map[string]bool{"POST": true, "PATCH": true, "GET": false, "PUT": false, "DELETE": false} {
		var c fasthttp.RequestCtx
		c.Request.Header.SetMethod(method)
		c.Request.SetRequestURI(PathServices + "records/1")
		if once, _ := parseOnce(&c); once != want {
			t.Errorf("%s: once = %v, want %v", method, once, want)
		}
	}
}

// Guards against forwarding the key of the account or headers of one connection.
func TestPlainCallStripsKeyAndHopHeaders(t *testing.T) {
	var c fasthttp.RequestCtx
	c.Request.Header.Set("Authorization", "Bearer secret")
	c.Request.Header.Set("Connection", "close")
	c.Request.Header.Set("X-Kept", "1")
	c.SetUserValue("service", "records")
	c.Request.SetRequestURI(PathServices + "records/a/b?c=d")
	var call streamer.Call
	if refusal := parsePlain(&c, newResolver(), &call); refusal != nil {
		t.Fatal(refusal)
	}
	if call.Header["Authorization"] != "" || call.Header["Connection"] != "" || call.Header["X-Kept"] != "1" {
		t.Errorf("headers %v", call.Header)
	}
	if call.Path != "/a/b?c=d" {
		t.Errorf("path %q", call.Path)
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"mill-1@1","stream":true}`))
	f.Add([]byte(`{"model":"mill-9@1"}`))
	f.Add([]byte(`{"model":7}`))
	r := newResolver()
	f.Fuzz(func(t *testing.T, body []byte) {
		var c fasthttp.RequestCtx
		c.Request.SetBody(body)
		call := streamer.Call{Account: "gujarat"}
		refusal := parseCompletion(&c, r, &call)
		if refusal != nil {
			if refusal.Verdict != judge.NotRun {
				t.Errorf("verdict %s", refusal.Verdict)
			}
			return
		}
		if !json.Valid(call.Body) || call.Adapter == "" {
			t.Errorf("accepted %q as %+v", body, call)
		}
	})
}

package answerer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
)

// A parseFunc parses a request into a call.
type parseFunc func(c *fasthttp.RequestCtx, settings *resolver.Resolver, call *streamer.Call) *judge.Error

// Bounds of header values.
const (
	maxKeyLength = 255
	maxPriority  = 10
)

// strippedHeaders are the headers that are not forwarded to a plain service: the key
// of the account must not reach it, and the others belong to one connection.
var strippedHeaders = map[string]bool{
	"authorization": true, "connection": true, "content-length": true, "host": true,
	"keep-alive": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
}

func bearer(c *fasthttp.RequestCtx) string {
	key, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

func parseCompletion(c *fasthttp.RequestCtx, settings *resolver.Resolver, call *streamer.Call) *judge.Error {
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		return judge.Refuse(judge.ReasonBody, "the body is not the JSON of a completion: %v", err)
	}
	adapter, ok := settings.Adapter(body.Model)
	if !ok || adapter.Account != call.Account {
		return judge.Refuse(judge.ReasonAdapter, "model %q is no adapter of this account; write name@version as %s lists them", body.Model, PathModels)
	}
	call.Adapter = adapter.Name
	call.Service = adapter.Service
	call.Stream = body.Stream
	call.Method = fasthttp.MethodPost
	call.Path = string(c.Path())
	call.Body = bytes.Clone(c.PostBody())
	return nil
}

func parsePlain(c *fasthttp.RequestCtx, settings *resolver.Resolver, call *streamer.Call) *judge.Error {
	name, _ := c.UserValue("service").(string)
	service, ok := settings.Service(name)
	if !ok || service.Type != parser.TypePlain {
		return judge.Refuse(judge.ReasonUpstream, "%q is no plain service", name)
	}
	call.Service = name
	call.Method = string(c.Method())
	call.Path = strings.TrimPrefix(string(c.URI().RequestURI()), PathServices+name)
	call.Body = bytes.Clone(c.PostBody())
	call.Header = make(map[string]string)
	for key, value := range c.Request.Header.All() {
		if !strippedHeaders[strings.ToLower(string(key))] {
			call.Header[string(key)] = string(value)
		}
	}
	return nil
}

// parseHeaders parses the headers that control how a request is handled.
func parseHeaders(c *fasthttp.RequestCtx, call *streamer.Call, values resolver.Effective) *judge.Error {
	left, refusal := parseDeadline(string(c.Request.Header.Peek(HeaderDeadline)), values.Deadline)
	if refusal != nil {
		return refusal
	}
	call.TimeLeft = left
	call.Deadline = time.Now().Add(left)
	call.Key = string(c.Request.Header.Peek(HeaderKey))
	if len(call.Key) > maxKeyLength {
		return judge.Refuse(judge.ReasonHeader, "%s has %d bytes, at most %d are allowed", HeaderKey, len(call.Key), maxKeyLength)
	}
	if call.NonIdempotent, refusal = parseOnce(c); refusal != nil {
		return refusal
	}
	return parsePriority(string(c.Request.Header.Peek(HeaderPriority)), call)
}

// parseDeadline parses a duration such as 2.5s or a number of seconds.
func parseDeadline(text string, fallback time.Duration) (time.Duration, *judge.Error) {
	if text == "" {
		return fallback, nil
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		text += "s"
	}
	left, err := time.ParseDuration(text)
	if err != nil || left <= 0 {
		return 0, judge.Refuse(judge.ReasonHeader, "%s is %q; write the time left, such as 2.5s", HeaderDeadline, text)
	}
	return left, nil
}

// parseOnce parses the header that marks a request that must not run twice. It
// defaults to true for a call of a plain service with a method that is not
// idempotent.
func parseOnce(c *fasthttp.RequestCtx) (bool, *judge.Error) {
	switch text := string(c.Request.Header.Peek(HeaderOnce)); text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		plain := bytes.HasPrefix(c.Path(), []byte(PathServices))
		method := string(c.Method())
		return plain && (method == fasthttp.MethodPost || method == fasthttp.MethodPatch), nil
	default:
		return false, judge.Refuse(judge.ReasonHeader, "%s is %q; write true or false", HeaderOnce, text)
	}
}

func parsePriority(text string, call *streamer.Call) *judge.Error {
	if text == "" {
		return nil
	}
	priority, err := strconv.Atoi(text)
	if err != nil || priority < -maxPriority || priority > maxPriority {
		return judge.Refuse(judge.ReasonHeader, "%s is %q; write a number from -%d to %d", HeaderPriority, text, maxPriority, maxPriority)
	}
	call.Priority = priority
	return nil
}

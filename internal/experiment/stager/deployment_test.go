package stager_test

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// smallDeployment returns a deployment of two domains that starts quickly.
func smallDeployment(t *testing.T) *stager.Deployment {
	t.Helper()
	plan, err := stager.PlanFor(stager.Association)
	if err != nil {
		t.Fatal(err)
	}
	plan.Domains = plan.Domains[:2]
	plan.Engines, plan.Instances, plan.Services = 4, 4, 2
	plan.Lease = 2 * time.Second
	d, err := stager.Start(t.Context(), plan, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

func post(t *testing.T, address, path, body string) (int, string) {
	t.Helper()
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+stager.Key)
	request.SetRequestURI("http://" + address + path)
	request.SetBodyString(body)
	var r requester.Requester
	status, response, observation := r.ReadAll(t.Context(), address, request)
	if observation != nil {
		t.Fatalf("%+v", observation)
	}
	return status, string(response)
}

func TestCompletionsThroughEveryInstance(t *testing.T) {
	d := smallDeployment(t)
	for i := range d.Instances {
		status, body := post(t, d.Address(i), "/v1/chat/completions",
			`{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
		t.Log(status, body)
		if status != fasthttp.StatusOK {
			t.Errorf("instance %d: status %d: %s", i, status, body)
		}
		status, body = post(t, d.Address(i), "/v1/completions", `{"model":"desk-8@1","stream":true,"max_tokens":3,"prompt":"hello"}`)
		t.Log(status, body)
		if status != fasthttp.StatusOK {
			t.Errorf("instance %d: status %d: %s", i, status, body)
		}
	}
}

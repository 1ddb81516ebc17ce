// Package stager runs a complete deployment in this process, over loopback TCP: a
// stand-in of the platform, stand-ins of engines and plain services in several
// failure domains, and entry instances in front of them.
package stager

import (
	"fmt"
	"strings"
	"time"
)

// A Plan describes a deployment to start.
type Plan struct {
	Name      string
	Account   string
	Adapters  int
	Domains   []string
	Engine    string // name of the engine service
	Engines   int
	Fencing   bool // whether the engines check fencing tokens
	Instances int  // entry instances, spread over the domains
	Service   string
	Services  int // number of upstreams of the plain service
	Slots     int
	Batch     int
	Speed     float64 // factor by which engines and weight store are sped up
	Rate      float64 // weight loads per second, before Speed
	Together  int     // concurrent weight loads without slowdown
	Values    string  // YAML of the root values
	LRU       bool    // evict the least recently used adapter
	Lease     time.Duration
	Beat      time.Duration // heartbeat interval
	Poll      time.Duration // poll interval of the platform
}

// The predefined deployments.
const (
	Association = "association"
	TSH         = "tsh"
)

// tokenTime is the duration of an engine step, before Speed.
const tokenTime = 25 * time.Millisecond

// PlanFor returns the plan of a predefined deployment at its present size.
func PlanFor(name string) (Plan, error) {
	p := Plan{
		Name: name, Adapters: 3000, Slots: 8, Batch: 8, Speed: 8, Rate: 3, Instances: 8,
		Domains: []string{"a", "b", "c", "d"}, Fencing: true, Lease: 4 * time.Second,
		Beat: 500 * time.Millisecond, Poll: 500 * time.Millisecond,
	}
	switch name {
	case Association:
		p.Account, p.Engine, p.Engines = "gujarat", "exit-llm", 9
		p.Service, p.Services, p.Together = "survey-records", 4, 1
		p.Values = "{stall: 1, batch: 0.1, deadline: 20s}"
	case TSH:
		p.Account, p.Engine, p.Engines = "tsh", "lm-desk", 12
		p.Service, p.Services, p.Together = "broker-api", 4, 2
		p.Values = "{stall: 1, batch: 1, deadline: 20s}"
	default:
		return Plan{}, fmt.Errorf("deployment %q is unknown; choose %s or %s", name, Association, TSH)
	}
	return p, nil
}

// Key is the API key of the callers.
const Key = "demo-key"

// tree returns the settings files of the plan.
func (p *Plan) tree(engines, services []string) map[string][]byte {
	var engine, service strings.Builder
	fmt.Fprintf(&engine, "kind: service\nname: %s\ntype: engine\nupstreams:\n", p.Engine)
	for i, address := range engines {
		fmt.Fprintf(&engine, "  - {name: %s, domain: %s, address: %q, slots: %d, batch: %d, fencing: %v}\n",
			p.engineName(i), p.domain(i), address, p.Slots, p.Batch, p.Fencing)
	}
	fmt.Fprintf(&service, "kind: service\nname: %s\ntype: plain\nupstreams:\n", p.Service)
	for i, address := range services {
		fmt.Fprintf(&service, "  - {name: %s-%d, domain: %s, address: %q, batch: 32}\n", p.Service, i+1, p.domain(i), address)
	}
	return map[string][]byte{
		"root.yaml":    fmt.Appendf(nil, "kind: root\nvalues: %s\nweights: {rate: %v, together: %d}\n", p.Values, p.Rate*p.Speed, p.Together),
		"engine.yaml":  []byte(engine.String()),
		"service.yaml": []byte(service.String()),
		"account.yaml": fmt.Appendf(nil, "kind: account\nname: %s\nkeys:\n  - {hash: %s}\nadapters:\n  - {name: desk, count: %d, versions: [1, 2], service: %s, base: base-1}\n",
			p.Account, hashOf(Key), p.Adapters, p.Engine),
	}
}

func (p *Plan) domain(i int) string { return p.Domains[i%len(p.Domains)] }

func (p *Plan) engineName(i int) string { return fmt.Sprintf("%s-%d", p.Engine, i+1) }

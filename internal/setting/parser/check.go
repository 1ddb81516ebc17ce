package parser

import (
	"fmt"
	"net"
	"regexp"
	"slices"
)

// name matches a valid name of an account, service, failure domain, desk or
// adapter. Handles and rows use other characters as separators.
var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// hash matches a SHA-256 digest in hexadecimal.
var hash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// policies are the routing policies.
var policies = []string{"cost", "hash", "least"}

// largestGroup is the maximum number of adapters in one group.
const largestGroup = 1_000_000

func (p *parse) check() {
	if file, ok := p.sources[kindRoot+"/"]; ok {
		p.checkRoot(file)
	}
	for _, s := range p.tree.Services {
		p.checkService(p.sources[kindService+"/"+s.Name], s)
	}
	for _, a := range p.tree.Accounts {
		p.checkAccount(p.sources[kindAccount+"/"+a.Name], a)
	}
	p.checkShared()
}

func (p *parse) checkAccount(file string, a Account) {
	p.checkName(file, "$.name", a.Name)
	p.checkValues(file, "$.values", a.Values)
	for i, k := range a.Keys {
		if !hash.MatchString(k.Hash) {
			p.fault(file, fmt.Sprintf("$.keys[%d].hash", i), "not a SHA-256 in hexadecimal; write the output of: printf %%s KEY | sha256sum")
		}
	}
	for i, u := range a.Services {
		p.checkUse(file, fmt.Sprintf("$.services[%d]", i), u)
	}
	for i, g := range a.Adapters {
		p.checkGroup(file, fmt.Sprintf("$.adapters[%d]", i), g)
	}
}

func (p *parse) checkGroup(file, path string, g Group) {
	p.checkName(file, path+".name", g.Name)
	if g.Count < 0 || g.Count > largestGroup {
		p.fault(file, path+".count", "count is %d; write 0 to %d", g.Count, largestGroup)
	}
	if len(g.Versions) == 0 {
		p.fault(file, path+".versions", "no versions; write a list such as [1]")
	}
	p.checkKnown(file, path+".service", g.Service)
}

func (p *parse) checkKnown(file, path, service string) {
	known := slices.ContainsFunc(p.tree.Services, func(s Service) bool { return s.Name == service })
	if !known {
		p.fault(file, path, "service %q is not declared; add a file of kind service or correct the name", service)
	}
}

func (p *parse) checkName(file, path, value string) {
	if !name.MatchString(value) {
		p.fault(file, path, "%q is not a valid name; use at most 63 of the characters a-z, 0-9 and -", value)
	}
}

func (p *parse) checkRoot(file string) {
	p.checkValues(file, "$.values", p.tree.Root.Values)
	if p.tree.Root.Weights.Rate < 0 {
		p.fault(file, "$.weights.rate", "rate is negative; write loads per second")
	}
}

func (p *parse) checkService(file string, s Service) {
	p.checkName(file, "$.name", s.Name)
	p.checkValues(file, "$.values", s.Values)
	if s.Type != TypeEngine && s.Type != TypePlain {
		p.fault(file, "$.type", "type is %q; write engine or plain", s.Type)
	}
	for i, u := range s.Upstreams {
		p.checkUpstream(file, fmt.Sprintf("$.upstreams[%d]", i), s.Type, u)
	}
}

// checkShared reports duplicates across files: an API key must belong to one
// account, and the names of adapter groups and upstreams must be unique.
func (p *parse) checkShared() {
	keys := make(map[string]string)
	groups := make(map[string]string)
	upstreams := make(map[string]string)
	once := func(seen map[string]string, key, file, path, what string) {
		if other, taken := seen[key]; taken {
			p.fault(file, path, "%s %q is also declared in %s; remove one of them", what, key, other)
		}
		seen[key] = file
	}
	for _, a := range p.tree.Accounts {
		file := p.sources[kindAccount+"/"+a.Name]
		for i, k := range a.Keys {
			once(keys, k.Hash, file, fmt.Sprintf("$.keys[%d].hash", i), "key")
		}
		for i, g := range a.Adapters {
			once(groups, g.Name, file, fmt.Sprintf("$.adapters[%d].name", i), "adapter group")
		}
	}
	for _, s := range p.tree.Services {
		file := p.sources[kindService+"/"+s.Name]
		for i, u := range s.Upstreams {
			once(upstreams, u.Name, file, fmt.Sprintf("$.upstreams[%d].name", i), "upstream")
		}
	}
}

func (p *parse) checkUpstream(file, path, kind string, u Upstream) {
	p.checkName(file, path+".name", u.Name)
	p.checkName(file, path+".domain", u.Domain)
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		p.fault(file, path+".address", "%q is not a valid address; write host:port", u.Address)
	}
	if kind == TypeEngine && u.Slots < 1 {
		p.fault(file, path+".slots", "slots is %d; write how many adapters the engine holds, at least 1", u.Slots)
	}
	if u.Batch < 1 {
		p.fault(file, path+".batch", "batch is %d; write how many requests it runs concurrently, at least 1", u.Batch)
	}
}

func (p *parse) checkUse(file, path string, u Use) {
	p.checkKnown(file, path+".name", u.Name)
	p.checkValues(file, path+".values", u.Values)
	for i, d := range u.Domains {
		at := fmt.Sprintf("%s.domains[%d]", path, i)
		p.checkName(file, at+".name", d.Name)
		p.checkValues(file, at+".values", d.Values)
		for j, desk := range d.Desks {
			p.checkName(file, fmt.Sprintf("%s.desks[%d].name", at, j), desk.Name)
			p.checkValues(file, fmt.Sprintf("%s.desks[%d].values", at, j), desk.Values)
		}
	}
}

func (p *parse) checkValues(file, path string, v Values) {
	atLeast(p, file, path+".batch", v.Batch, 0)
	atLeast(p, file, path+".body", v.Body, 1)
	atLeast(p, file, path+".deadline", v.Deadline, 1)
	atLeast(p, file, path+".keep", v.Keep, 1)
	atLeast(p, file, path+".queue", v.Queue, 1)
	atLeast(p, file, path+".retries", v.Retries, 0)
	atLeast(p, file, path+".stall", v.Stall, 0)
	atLeast(p, file, path+".streams", v.Streams, 1)
	if v.Share != nil && (*v.Share <= 0 || *v.Share > 1) {
		p.fault(file, path+".share", "share is %v; write a fraction above 0 and at most 1", *v.Share)
	}
	if v.Policy != nil && !slices.Contains(policies, *v.Policy) {
		p.fault(file, path+".policy", "policy is %q; write one of %v", *v.Policy, policies)
	}
}

// atLeast records a fault if a value is set and less than least.
func atLeast[T int | float64 | ~int64](p *parse, file, path string, value *T, least T) {
	if value != nil && *value < least {
		p.fault(file, path, "%v is too small; write at least %v", *value, least)
	}
}

package parser

import (
	"fmt"
	"net"
	"regexp"
	"slices"
)

// namePattern matches a valid name of an account, service, failure domain, desk
// or adapter. Handles and rows use other characters as separators.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// digestPattern matches a SHA-256 digest in hexadecimal.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// policies are the routing policies.
var policies = []string{"cost", "hash", "least"}

// maxGroupSize is the maximum number of adapters in one group.
const maxGroupSize = 1_000_000

func (p *parseState) check() {
	if file, ok := p.sources[kindRoot+"/"]; ok {
		p.checkRoot(file)
	}
	for _, s := range p.tree.Services {
		p.checkService(p.sources[kindService+"/"+s.Name], s)
	}
	for _, a := range p.tree.Accounts {
		p.checkAccount(p.sources[kindAccount+"/"+a.Name], a)
	}
	p.checkUnique()
}

func (p *parseState) checkAccount(file string, a Account) {
	p.checkName(file, "$.name", a.Name)
	p.checkValues(file, "$.values", a.Values)
	for i, k := range a.Keys {
		if !digestPattern.MatchString(k.Hash) {
			p.addFault(file, fmt.Sprintf("$.keys[%d].hash", i), "not a SHA-256 in hexadecimal; write the output of: printf %%s KEY | sha256sum")
		}
	}
	for i, u := range a.Services {
		p.checkUse(file, fmt.Sprintf("$.services[%d]", i), u)
	}
	for i, g := range a.Adapters {
		p.checkGroup(file, fmt.Sprintf("$.adapters[%d]", i), g)
	}
}

func (p *parseState) checkGroup(file, path string, g Group) {
	p.checkName(file, path+".name", g.Name)
	if g.Count < 0 || g.Count > maxGroupSize {
		p.addFault(file, path+".count", "count is %d; write 0 to %d", g.Count, maxGroupSize)
	}
	if len(g.Versions) == 0 {
		p.addFault(file, path+".versions", "no versions; write a list such as [1]")
	}
	p.checkServiceDeclared(file, path+".service", g.Service)
}

func (p *parseState) checkServiceDeclared(file, path, service string) {
	declared := slices.ContainsFunc(p.tree.Services, func(s Service) bool { return s.Name == service })
	if !declared {
		p.addFault(file, path, "service %q is not declared; add a file of kind service or correct the name", service)
	}
}

func (p *parseState) checkName(file, path, value string) {
	if !namePattern.MatchString(value) {
		p.addFault(file, path, "%q is not a valid name; use at most 63 of the characters a-z, 0-9 and -", value)
	}
}

func (p *parseState) checkRoot(file string) {
	p.checkValues(file, "$.values", p.tree.Root.Values)
	if p.tree.Root.Weights.Rate < 0 {
		p.addFault(file, "$.weights.rate", "rate is negative; write loads per second")
	}
}

func (p *parseState) checkService(file string, s Service) {
	p.checkName(file, "$.name", s.Name)
	p.checkValues(file, "$.values", s.Values)
	if s.Type != TypeEngine && s.Type != TypePlain {
		p.addFault(file, "$.type", "type is %q; write engine or plain", s.Type)
	}
	for i, u := range s.Upstreams {
		p.checkUpstream(file, fmt.Sprintf("$.upstreams[%d]", i), s.Type, u)
	}
}

// checkUnique reports duplicates in the whole tree: an API key must belong to one
// account, and the names of adapter groups and upstreams must be unique.
func (p *parseState) checkUnique() {
	keys := make(map[string]string)
	groups := make(map[string]string)
	upstreams := make(map[string]string)
	checkOnce := func(seen map[string]string, key, file, path, what string) {
		if other, exists := seen[key]; exists {
			p.addFault(file, path, "%s %q is also declared in %s; remove one of them", what, key, other)
		}
		seen[key] = file
	}
	for _, a := range p.tree.Accounts {
		file := p.sources[kindAccount+"/"+a.Name]
		for i, k := range a.Keys {
			checkOnce(keys, k.Hash, file, fmt.Sprintf("$.keys[%d].hash", i), "key")
		}
		for i, g := range a.Adapters {
			checkOnce(groups, g.Name, file, fmt.Sprintf("$.adapters[%d].name", i), "adapter group")
		}
	}
	for _, s := range p.tree.Services {
		file := p.sources[kindService+"/"+s.Name]
		for i, u := range s.Upstreams {
			checkOnce(upstreams, u.Name, file, fmt.Sprintf("$.upstreams[%d].name", i), "upstream")
		}
	}
}

func (p *parseState) checkUpstream(file, path, serviceType string, u Upstream) {
	p.checkName(file, path+".name", u.Name)
	p.checkName(file, path+".domain", u.Domain)
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		p.addFault(file, path+".address", "%q is not a valid address; write host:port", u.Address)
	}
	if serviceType == TypeEngine && u.Slots < 1 {
		p.addFault(file, path+".slots", "slots is %d; write how many adapters the engine holds, at least 1", u.Slots)
	}
	if u.Batch < 1 {
		p.addFault(file, path+".batch", "batch is %d; write how many requests it runs concurrently, at least 1", u.Batch)
	}
}

func (p *parseState) checkUse(file, path string, u Use) {
	p.checkServiceDeclared(file, path+".name", u.Name)
	p.checkValues(file, path+".values", u.Values)
	for i, d := range u.Domains {
		domainPath := fmt.Sprintf("%s.domains[%d]", path, i)
		p.checkName(file, domainPath+".name", d.Name)
		p.checkValues(file, domainPath+".values", d.Values)
		for j, desk := range d.Desks {
			p.checkName(file, fmt.Sprintf("%s.desks[%d].name", domainPath, j), desk.Name)
			p.checkValues(file, fmt.Sprintf("%s.desks[%d].values", domainPath, j), desk.Values)
		}
	}
}

func (p *parseState) checkValues(file, path string, v Values) {
	checkMin(p, file, path+".batch", v.Batch, 0)
	checkMin(p, file, path+".body", v.Body, 1)
	checkMin(p, file, path+".deadline", v.Deadline, 1)
	checkMin(p, file, path+".keep", v.Keep, 1)
	checkMin(p, file, path+".queue", v.Queue, 1)
	checkMin(p, file, path+".retries", v.Retries, 0)
	checkMin(p, file, path+".stall", v.Stall, 0)
	checkMin(p, file, path+".streams", v.Streams, 1)
	if v.Share != nil && (*v.Share <= 0 || *v.Share > 1) {
		p.addFault(file, path+".share", "share is %v; write a fraction above 0 and at most 1", *v.Share)
	}
	if v.Policy != nil && !slices.Contains(policies, *v.Policy) {
		p.addFault(file, path+".policy", "policy is %q; write one of %v", *v.Policy, policies)
	}
}

// checkMin records a fault if a value is set and less than minimum.
func checkMin[T int | float64 | ~int64](p *parseState, file, path string, value *T, minimum T) {
	if value != nil && *value < minimum {
		p.addFault(file, path, "%v is too small; write at least %v", *value, minimum)
	}
}

package resolver

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
)

// A Resolver is an index of one settings tree. It is immutable and safe for
// concurrent use. Its memory does not grow with the size of adapter groups: each
// group is one entry.
type Resolver struct {
	accounts map[string]*parser.Account
	groups   map[string]ownedGroup
	keys     map[string]Caller
	services map[string]*parser.Service
	tree     *parser.Tree
}

// A Caller identifies who sent a request.
type Caller struct {
	Account string
	Desk    string
}

// An Adapter is a declared adapter version.
type Adapter struct {
	Name    string // name@version
	Account string
	Base    string
	Service string
}

type ownedGroup struct {
	account string
	group   parser.Group
}

// New returns a Resolver of a tree.
func New(tree *parser.Tree) *Resolver {
	r := &Resolver{
		accounts: make(map[string]*parser.Account),
		groups:   make(map[string]ownedGroup),
		keys:     make(map[string]Caller),
		services: make(map[string]*parser.Service),
		tree:     tree,
	}
	for i := range tree.Accounts {
		r.index(&tree.Accounts[i])
	}
	for i := range tree.Services {
		r.services[tree.Services[i].Name] = &tree.Services[i]
	}
	return r
}

// Adapter returns the declared adapter version with the name name@version.
func (r *Resolver) Adapter(model string) (Adapter, bool) {
	name, version, found := strings.Cut(model, "@")
	number, err := strconv.Atoi(version)
	if !found || err != nil || strconv.Itoa(number) != version {
		return Adapter{}, false
	}
	o, ok := r.group(name)
	if !ok || !slices.Contains(o.group.Versions, number) {
		return Adapter{}, false
	}
	return Adapter{Name: model, Account: o.account, Base: o.group.Base, Service: o.group.Service}, true
}

// Adapters calls yield for each adapter version of an account, in order, until
// it returns false.
func (r *Resolver) Adapters(account string, yield func(string) bool) {
	a, ok := r.accounts[account]
	if !ok {
		return
	}
	for _, g := range a.Adapters {
		for i := range max(1, g.Count) {
			for _, v := range g.Versions {
				if !yield(adapterName(g, i) + "@" + strconv.Itoa(v)) {
					return
				}
			}
		}
	}
}

// Caller returns the caller that an API key belongs to.
func (r *Resolver) Caller(key string) (Caller, bool) {
	sum := sha256.Sum256([]byte(key))
	c, ok := r.keys[hex.EncodeToString(sum[:])]
	return c, ok
}

// Explain returns each value at a position in the tree and the level that set it.
func (r *Resolver) Explain(account, service, domain, desk string) []Origin {
	_, origins := merge(r.levels(account, service, domain, desk))
	return origins
}

// Service returns a service by name.
func (r *Resolver) Service(name string) (*parser.Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Services returns all services.
func (r *Resolver) Services() []parser.Service { return r.tree.Services }

// Values returns the effective values at a position in the tree.
func (r *Resolver) Values(account, service, domain, desk string) Effective {
	effective, _ := merge(r.levels(account, service, domain, desk))
	return effective
}

// Weights returns the limits of the weight store.
func (r *Resolver) Weights() parser.Weights { return r.tree.Root.Weights }

// group returns the group of an adapter name, which is either the group's name or
// that of one of its numbered adapters.
func (r *Resolver) group(name string) (ownedGroup, bool) {
	if o, ok := r.groups[name]; ok && o.group.Count == 0 {
		return o, true
	}
	i := strings.LastIndexByte(name, '-')
	if i < 0 {
		return ownedGroup{}, false
	}
	number, err := strconv.Atoi(name[i+1:])
	o, ok := r.groups[name[:i]]
	if err != nil || !ok || number < 0 || number >= o.group.Count || strconv.Itoa(number) != name[i+1:] {
		return ownedGroup{}, false
	}
	return o, true
}

func (r *Resolver) index(a *parser.Account) {
	r.accounts[a.Name] = a
	for _, k := range a.Keys {
		r.keys[k.Hash] = Caller{Account: a.Name, Desk: k.Desk}
	}
	for _, g := range a.Adapters {
		r.groups[g.Name] = ownedGroup{account: a.Name, group: g}
	}
}

// levels returns the levels that apply to a position, the outermost first.
func (r *Resolver) levels(account, service, domain, desk string) []level {
	levels := []level{{"root", r.tree.Root.Values}}
	if s, ok := r.services[service]; ok {
		levels = append(levels, level{"service " + service, s.Values})
	}
	a, ok := r.accounts[account]
	if !ok {
		return levels
	}
	levels = append(levels, level{"account " + account, a.Values})
	for _, u := range a.Services {
		if u.Name == service {
			levels = append(levels, level{"account " + account + " service " + service, u.Values})
			levels = append(levels, domainLevels(u, domain, desk)...)
		}
	}
	return levels
}

func adapterName(g parser.Group, i int) string {
	if g.Count == 0 {
		return g.Name
	}
	return g.Name + "-" + strconv.Itoa(i)
}

func domainLevels(u parser.Use, domain, desk string) []level {
	var levels []level
	for _, d := range u.Domains {
		if d.Name != domain {
			continue
		}
		levels = append(levels, level{"domain " + domain, d.Values})
		for _, k := range d.Desks {
			if k.Name == desk {
				levels = append(levels, level{"desk " + desk, k.Values})
			}
		}
	}
	return levels
}

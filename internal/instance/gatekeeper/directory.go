package gatekeeper

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
)

// A directory lists the instances of all failure domains. The leader of a domain collects
// those of its own from their reports and publishes them when they change; the others adopt
// what it publishes. Its zero value is ready but for the fields; it is safe for concurrent use.
type directory struct {
	onChange func(all []detourer.Peer)

	mu      sync.Mutex
	domains map[string]*domainDirectory
}

// A domainDirectory lists the instances of one failure domain.
type domainDirectory struct {
	instances map[string]listedInstance // by ID
	version   int                       // counts the changes
}

// A listedInstance is one instance.
type listedInstance struct {
	address    string
	reportedAt time.Time // when it, or the leader for it, last reported
}

func (d *directory) domain(name string) *domainDirectory {
	if d.domains == nil {
		d.domains = make(map[string]*domainDirectory)
	}
	l, ok := d.domains[name]
	if !ok {
		l = &domainDirectory{instances: make(map[string]listedInstance)}
		d.domains[name] = l
	}
	return l
}

// observe records, at the leader of a domain, that an instance has reported its demand there.
func (d *directory) observe(domain string, from heartbeater.Instance, now time.Time) {
	if from.Domain != domain || from.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.domain(domain)
	changed := l.instances[from.ID].address != from.Address
	l.instances[from.ID] = listedInstance{address: from.Address, reportedAt: now}
	if changed {
		d.changed(l)
	}
}

// adopt takes over the list that the leader of a domain has published.
func (d *directory) adopt(domain string, list []relayer.InstanceAddress, now time.Time) {
	if len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.domain(domain)
	instances := make(map[string]listedInstance, len(list))
	for _, i := range list {
		instances[i.ID] = listedInstance{address: i.Address, reportedAt: now}
	}
	same := maps.EqualFunc(l.instances, instances, func(a, b listedInstance) bool { return a.address == b.address })
	l.instances = instances
	if !same {
		d.changed(l)
	}
}

// since returns the list of a domain if it has changed since a version, and its version.
func (d *directory) since(domain string, version int) ([]relayer.InstanceAddress, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.domain(domain)
	if l.version == version {
		return nil, version
	}
	list := make([]relayer.InstanceAddress, 0, len(l.instances))
	for _, id := range slices.Sorted(maps.Keys(l.instances)) {
		list = append(list, relayer.InstanceAddress{ID: id, Address: l.instances[id].address})
	}
	return list, l.version
}

// expire drops the instances of a domain that no longer report to this instance, its leader.
func (d *directory) expire(domain string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.domain(domain)
	before := len(l.instances)
	maps.DeleteFunc(l.instances, func(_ string, i listedInstance) bool { return now.Sub(i.reportedAt) > memberTimeout })
	if len(l.instances) != before {
		d.changed(l)
	}
}

// changed records a change of the list of a domain.
func (d *directory) changed(l *domainDirectory) {
	l.version++
	var all []detourer.Peer
	for name, l := range d.domains {
		for id, i := range l.instances {
			all = append(all, detourer.Peer{ID: id, Address: i.address, Domain: name})
		}
	}
	slices.SortFunc(all, func(a, b detourer.Peer) int { return strings.Compare(a.ID, b.ID) })
	d.onChange(all)
}

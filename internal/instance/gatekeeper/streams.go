package gatekeeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// recordBatchTime is how long the record of a stream waits for others.
	recordBatchTime = 3 * time.Millisecond
	// recordInterval is how often an instance checks whether records must be sent that did not
	// have to be when their streams began.
	recordInterval = 500 * time.Millisecond
	// takeUpMargin is added to the time for which a stream is remembered.
	takeUpMargin = 5 * time.Second
	// maxPendingRecords bounds the streams whose records this instance sends, and the records that
	// wait for the link to a holder.
	maxPendingRecords = 4096
	// findTimeout bounds one round of questions for a stream, and findLimit all of them: its
	// caller waits.
	findTimeout = 120 * time.Millisecond
	findPause   = 50 * time.Millisecond // between two rounds
	findLimit   = 600 * time.Millisecond
	// recordSendTimeout bounds sending records, which mostly means establishing a link.
	recordSendTimeout = time.Second
)

// streams is what one instance knows of the software versions at which streams began.
type streams struct {
	ledger resumer.Ledger // streams that began here, and those that it holds for others
	wake   chan struct{}  // wakes the loop that sends records

	mu       sync.Mutex
	members  []resumer.Member             // other instances
	holders  []resumer.Member             // instances that may hold records; this one may be among them
	vanished map[resumer.Member]time.Time // those that are listed no longer, and since when
	changes  int                          // of the members
	own      map[resumer.Key]*ownStream
	pending  map[string][]resumer.Record // by address of the holder
	sending  map[string]bool             // by address: a goroutine sends to it
}

// An ownStream is a stream that began at this instance, or was taken up here.
type ownStream struct {
	service string
	version string
	until   time.Time // when its caller has given up
	sentTo  []string  // addresses of the holders
	changes int       // of the members, as of when it was sent
}

func (s *streams) init() {
	s.wake = make(chan struct{}, 1)
	s.vanished = make(map[resumer.Member]time.Time)
	s.own = make(map[resumer.Key]*ownStream)
	s.pending = make(map[string][]resumer.Record)
	s.sending = make(map[string]bool)
}

// setMembers sets the instances that may hold records.
func (s *streams) setMembers(all []detourer.Peer, self, domain string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.members
	s.members = nil
	for _, p := range all {
		if p.ID != self {
			s.members = append(s.members, resumer.Member(p))
		}
	}
	s.holders = resumer.Candidates(append(slices.Clone(s.members), resumer.Member{ID: self, Domain: domain}))
	s.recordVanished(before, now)
	s.changes++
}

// recordVanished records which members are listed no longer. The caller holds s.mu.
func (s *streams) recordVanished(before []resumer.Member, now time.Time) {
	for _, m := range before {
		s.vanished[m] = now
	}
	for _, m := range s.members {
		delete(s.vanished, m)
	}
	maps.DeleteFunc(s.vanished, func(_ resumer.Member, at time.Time) bool { return now.Sub(at) > versionMemory })
}

// membersSince returns the members, and those that have vanished since a time: an instance that is
// cut off drops others from its list though they go on serving.
func (s *streams) membersSince(since time.Time) []resumer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.members)
	for m, at := range s.vanished {
		if !at.Before(since) {
			all = append(all, m)
		}
	}
	return all
}

// listed returns the number of instances that are listed, with this one.
func (s *streams) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members) + 1
}

// isFirstHolder reports whether this instance is the first holder of a key among all.
func (s *streams) isFirstHolder(k resumer.Key, self string) bool {
	s.mu.Lock()
	holders := s.holders
	s.mu.Unlock()
	return len(holders) == 0 || resumer.Holders(k, holders)[0].ID == self
}

// keyOfStream returns the key of the stream to which a request belongs.
func keyOfStream(r *forwarder.Request) resumer.Key {
	return resumer.KeyOf(r.Account, r.Service, r.FirstAttempt())
}

// Began implements forwarder.Streams.
func (g *Gatekeeper) Began(r *forwarder.Request, version string) {
	now := time.Now()
	key, left := keyOfStream(r), min(time.Until(r.Deadline)+takeUpMargin, resumer.MaxLeft)
	records := []resumer.Record{{Key: key, Version: version, Left: left}}
	g.streams.ledger.Add(records, now)
	g.storeStreams(records, now)
	s := &g.streams
	s.mu.Lock()
	if len(s.own) < maxPendingRecords {
		s.own[key] = &ownStream{service: r.Service, version: version, until: now.Add(left)}
	}
	s.mu.Unlock()
	if _, only := g.onlyVersion(r.Service, now); !only {
		signal(s.wake)
	}
}

// sendStreamRecords sends the records of streams to their holders until ctx ends. As long as the runners
// of a service have one version there is nothing to tell.
func (g *Gatekeeper) sendStreamRecords(ctx context.Context) {
	g.Metrics.GetOrCreateGauge("sardinetiller_streams_remembered", func() float64 { return float64(g.streams.ledger.Len()) })
	repeater.Every(ctx, recordInterval, g.streams.wake, func() {
		mixed := g.mixedServices(time.Now())
		if len(mixed) == 0 {
			return
		}
		pause(ctx, recordBatchTime)
		for address, records := range g.streams.due(mixed, time.Now()) {
			g.sendRecords(ctx, address, records)
		}
	})
}

// mixedServices returns the services with streams of this instance whose runners have several
// versions.
func (g *Gatekeeper) mixedServices(now time.Time) map[string]bool {
	mixed := g.streams.services(now)
	maps.DeleteFunc(mixed, func(service string, _ bool) bool {
		_, only := g.onlyVersion(service, now)
		return only
	})
	return mixed
}

// services returns the services of the streams of this instance, and forgets those whose callers have
// given up.
func (s *streams) services(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make(map[string]bool)
	for key, own := range s.own {
		if !now.Before(own.until) {
			delete(s.own, key)
			continue
		}
		services[own.service] = true
	}
	return services
}

// due returns the records of streams of some services that their holders do not have, by address.
func (s *streams) due(services map[string]bool, now time.Time) map[string][]resumer.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[string][]resumer.Record)
	for key, own := range s.own {
		if !services[own.service] || own.changes == s.changes && own.sentTo != nil {
			continue
		}
		holders := resumer.Holders(key, s.members)
		before := own.sentTo
		own.sentTo, own.changes = nil, s.changes
		for _, h := range holders[:min(len(holders), resumer.Copies)] {
			own.sentTo = append(own.sentTo, h.Address)
			if !slices.Contains(before, h.Address) {
				due[h.Address] = append(due[h.Address], resumer.Record{Key: key, Version: own.version, Left: own.until.Sub(now)})
			}
		}
	}
	return due
}

// sendRecords sends records to a holder without waiting for it.
func (g *Gatekeeper) sendRecords(ctx context.Context, address string, records []resumer.Record) {
	g.Metrics.GetOrCreateCounter("sardinetiller_stream_records_sent_total").Add(len(records))
	s := &g.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending[address])+len(records) <= maxPendingRecords {
		s.pending[address] = append(s.pending[address], records...)
	}
	if s.sending[address] {
		return
	}
	s.sending[address] = true
	go func() {
		for ctx.Err() == nil {
			records, ok := s.takePending(address)
			if !ok {
				return
			}
			bounded, cancel := context.WithTimeout(ctx, recordSendTimeout)
			_ = g.Peers.Send(bounded, address, relayer.Streams{Records: records}) // the other holders have them
			cancel()
		}
	}()
}

// takePending returns the records that wait for a holder; ok is false if there are none.
func (s *streams) takePending(address string) (records []resumer.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records = s.pending[address]
	delete(s.pending, address)
	if len(records) == 0 {
		delete(s.sending, address)
	}
	return records, len(records) > 0
}

// HandleStreams implements relayer.StreamHandler.
func (g *Gatekeeper) HandleStreams(m relayer.Streams) {
	now := time.Now()
	g.streams.ledger.Add(m.Records, now)
	g.storeStreams(m.Records, now)
}

// Find implements forwarder.Streams. Where neither this instance nor a holder knows the stream, and
// its service may have had runners of two versions since it began, it cannot go on: at a wrong
// version its caller would get a response that does not fit together.
func (g *Gatekeeper) Find(ctx context.Context, r *forwarder.Request) (tracker.VersionPin, *judge.Error) {
	key, began := keyOfStream(r), time.Now()
	version, source := g.findStream(ctx, key, r.Service)
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_streams_resumed_total{version=%q}`, source)).Inc()
	g.Recorder.Log(recorder.Resumed, "request", r.ID, "resumes", r.Resumes, "after", r.LastEventID, "service", r.Service, "version", version, "from", source, "took", time.Since(began))
	if source == fromNobody {
		return tracker.VersionPin{}, judge.Refuse(judge.ReasonVersion, "the software version at which stream %q began is not known", r.Resumes).WithRetryAfter(time.Second)
	}
	return tracker.PinTo(version), nil
}

// How the software version of a stream was found.
const (
	fromSelf    = "self"    // the stream was here before
	fromHolder  = "holder"  // another instance holds its record
	fromService = "service" // the runners of the service have had no other one
	fromNobody  = "nobody"
)

// findStream returns the software version at which a stream began, and how it was found. The only
// version that this instance knows of is that of the stream if nothing newer can be known elsewhere:
// an instance that is cut off does not learn of the runners of a second one.
func (g *Gatekeeper) findStream(ctx context.Context, key resumer.Key, service string) (version, source string) {
	// The record of a stream that has just begun may be on its way during the first round.
	const minRounds = 2
	end := time.Now().Add(findLimit)
	var stored <-chan struct{} // closed once the rows of streams have been read; nil until they are needed
	for round := 1; ; round++ {
		if version, ok := g.streams.ledger.Find(key, time.Now()); ok {
			return version, fromSelf
		}
		if g.runnersFresh() {
			if only, ok := g.onlyVersion(service, time.Now()); ok {
				return only, fromService
			}
		}
		responses := g.askHolders(ctx, key, service)
		// The versions are looked up after it is known how current the runners are: this instance
		// may learn of a second version at any moment.
		current := g.runnersCurrent()
		only, isOnly := g.onlyVersion(service, time.Now())
		switch {
		case responses.known:
			return responses.version, fromHolder
		case isOnly && responses.permit(only) && (current || responses.suffice()):
			return only, fromService
		case stored == nil:
			stored = g.readStreamRows(time.Now())
		case responses.complete() && round >= minRounds && isClosed(stored), ctx.Err() != nil, time.Now().After(end):
			return "", fromNobody
		}
		pause(ctx, findPause)
	}
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runnersCurrent reports whether the runners are known here as they were in the store a moment ago,
// by calls of this instance or by what others publish.
func (g *Gatekeeper) runnersCurrent() bool {
	at, ok := g.runners.asOf()
	return ok && time.Since(at) < freshFor+freshTimeout && !g.suspension.since(at)
}

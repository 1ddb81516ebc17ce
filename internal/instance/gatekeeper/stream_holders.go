package gatekeeper

import (
	"context"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
)

// holderResponses are the responses of the instances that were asked for the record of a stream.
type holderResponses struct {
	known   bool   // one of them has the record
	version string // that of the record

	allListed bool                  // all instances are known, as far as this one can tell
	asked     []resumer.Member      // including those that have not responded
	found     []relayer.FoundStream // without the record
	silent    map[string]bool       // failure domains without a response; never that of this instance
}

// complete reports whether all instances are known and all of those that were asked have responded.
func (h *holderResponses) complete() bool { return h.allListed && len(h.found) == len(h.asked) }

// permit reports whether no response names another version than the given one.
func (h *holderResponses) permit(only string) bool {
	return !slices.ContainsFunc(h.found, func(f relayer.FoundStream) bool {
		return slices.ContainsFunc(f.Versions, func(v string) bool { return v != only })
	})
}

// suffice reports whether a version that all responses permit is the only one, though this instance
// does not know the runners as they are now. Either a response comes from an instance that does, or
// several do and none is current, as while the store is away. An instance that is cut off alone, or
// with its failure domain, gets no response from another domain. Not ruled out is one instance that
// alone reaches the store and none of those that respond.
func (h *holderResponses) suffice() bool {
	informed := 0
	for _, f := range h.found {
		if len(f.Versions) == 0 {
			continue // it has just restarted
		}
		if f.Current {
			return true
		}
		informed++
	}
	return h.allListed && len(h.silent) == 0 && informed >= min(resumer.Copies, len(h.asked))
}

// askHolders asks the holders of the record of a stream, until one has it.
func (g *Gatekeeper) askHolders(ctx context.Context, key resumer.Key, service string) holderResponses {
	asOf, _ := g.runners.asOf()
	members := g.streams.membersSince(asOf)
	holders := resumer.Holders(key, members)
	h := holderResponses{
		allListed: g.MembersKnown() && len(members) >= g.Members()-1,
		asked:     holders[:min(len(holders), resumer.MaxAsked)],
		silent:    make(map[string]bool),
	}
	ctx, cancel := context.WithCancel(ctx) // ends the other questions once one is answered
	defer cancel()
	type response struct {
		domain string
		found  relayer.FoundStream
		ok     bool
	}
	responses := make(chan response, len(h.asked))
	for _, m := range h.asked {
		h.silent[m.Domain] = true
		go func() {
			found, ok := g.askHolder(ctx, m.Address, relayer.FindStream{Key: key, Service: service})
			responses <- response{m.Domain, found, ok}
		}()
	}
	delete(h.silent, g.Config.Domain)
	for range h.asked {
		r := <-responses
		if !r.ok {
			continue
		}
		if r.found.Known {
			h.known, h.version = true, r.found.Version
			return h
		}
		h.found = append(h.found, r.found)
		delete(h.silent, r.domain)
	}
	return h
}

// askHolder asks one instance.
func (g *Gatekeeper) askHolder(ctx context.Context, address string, m relayer.FindStream) (found relayer.FoundStream, ok bool) {
	conversation, message, err := g.askPeer(ctx, address, m, findTimeout)
	if err != nil {
		return relayer.FoundStream{}, false
	}
	conversation.Close()
	found, ok = message.(relayer.FoundStream)
	return found, ok
}

// describeStream responds to the question for the record of a stream.
func (g *Gatekeeper) describeStream(m relayer.FindStream, now time.Time) relayer.FoundStream {
	if version, known := g.streams.ledger.Find(m.Key, now); known {
		return relayer.FoundStream{Known: true, Version: version}
	}
	current := g.runnersCurrent() // before the versions: a second one may become known at any moment
	return relayer.FoundStream{Versions: g.knownVersions(m.Service, now), Current: current}
}

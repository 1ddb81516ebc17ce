package server

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/leaser"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// The keys of the rows of a failure domain. All have one prefix, so that one scan
// reads the roster, the leases and the drains.
const (
	drainInfix  = "/drain/"
	leaseInfix  = "/lease/"
	rosterInfix = "/roster"
)

// DomainPrefix returns the prefix of a failure domain's rows.
func DomainPrefix(domain string) string { return "domain/" + domain }

// DrainKey returns the key of the row that drains an upstream.
func DrainKey(domain, upstream string) string { return DomainPrefix(domain) + drainInfix + upstream }

func (s *Server) pollLoop(ctx context.Context) {
	repeater.EveryNow(ctx, s.Config.Poll, s.pollNow, func() {
		s.poll(ctx)
		s.pollSettings(ctx)
	})
}

// pollSoon wakes the poll loop.
func (s *Server) pollSoon() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// poll reads the rows of the failure domain and executes the actions that keep the lease.
func (s *Server) poll(ctx context.Context) {
	rows, err := s.Table.Scan(ctx, DomainPrefix(s.Config.Domain)+"/")
	s.recordTableCall(err)
	if err == nil {
		s.applyRows(rows, time.Now())
		s.applyCrashRows(rows, time.Now())
		s.writeCrashes(ctx)
	}
	s.mu.Lock()
	now := time.Now()
	actions := s.Holder.Tick(now, func(incarnation string) bool { return s.Monitor.Terminated(incarnation, now) })
	s.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case leaser.Renew:
			s.renew(ctx, a)
		case leaser.Propose:
			s.propose(ctx, a)
		}
	}
}

// recordTableCall records whether the table service answered. While it does not, an
// expired lease does not mean that another instance has taken over.
func (s *Server) recordTableCall(err error) {
	if err == nil {
		s.tableFailedAt.Store(0)
		return
	}
	s.tableFailedAt.Store(time.Now().UnixNano())
	s.countReason("sardinetiller_platform_failures_total", "table")
}

func (s *Server) applyRows(rows []tabler.Row, now time.Time) {
	var leases []leaser.Lease
	drains := make(map[string]bool)
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.leases)
	s.rosterRow = tabler.Row{}
	var roster leaser.Roster
	for _, row := range rows {
		switch {
		case strings.HasSuffix(row.Key, rosterInfix):
			s.rosterRow = row
			s.warnUndecodable("roster row", encoder.Unmarshal(row.Value, &roster))
		case strings.Contains(row.Key, leaseInfix):
			var l leaser.Lease
			s.warnUndecodable("lease row", encoder.Unmarshal(row.Value, &l))
			s.leases[l.Incarnation] = row
			leases = append(leases, l)
		case strings.Contains(row.Key, drainInfix):
			drains[row.Key[strings.LastIndexByte(row.Key, '/')+1:]] = true
		}
	}
	s.Holder.AdoptRoster(roster, now)
	s.Holder.ObserveLeases(leases, now)
	s.applyDrains(drains)
}

// renew writes this instance's lease row if it has not changed since the last scan.
// If the commit fails or its response is lost, the row is read back: only this
// instance writes that serial number.
func (s *Server) renew(ctx context.Context, a leaser.Renew) {
	s.mu.Lock()
	row, ok := s.leases[s.Incarnation]
	s.mu.Unlock()
	if !ok {
		s.confirmRenewal(ctx, a, time.Now())
		return
	}
	sent := time.Now()
	value, err := encoder.Marshal(a.Lease)
	if err != nil {
		return
	}
	err = s.Table.Commit(ctx, tabler.Txn{
		Checks: []tabler.Check{{Key: row.Key, Version: row.Version}},
		Puts:   []tabler.Put{{Key: row.Key, Value: value}},
	})
	if err == nil {
		s.mu.Lock()
		s.Holder.Renewed(sent)
		s.mu.Unlock()
		return
	}
	s.confirmRenewal(ctx, a, sent)
}

func (s *Server) confirmRenewal(ctx context.Context, a leaser.Renew, sent time.Time) {
	row, err := s.Table.Get(ctx, s.leaseKey(s.Incarnation))
	s.recordTableCall(err)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored leaser.Lease
	switch {
	case row.Version == 0:
		_ = level.Warn(s.Logger).Log("msg", "removed from the roster; rejoining")
		s.Holder.Removed()
	case encoder.Unmarshal(row.Value, &stored) == nil && stored.Serial == a.Lease.Serial:
		s.Holder.Renewed(sent)
	}
}

// propose writes the next roster. If the commit conflicts or its response is lost,
// nothing changes here: the next scan reads the roster in force.
func (s *Server) propose(ctx context.Context, a leaser.Propose) {
	txn, err := s.proposal(a)
	if err != nil {
		return
	}
	sent := time.Now()
	err = s.Table.Commit(ctx, txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.Holder.AdoptRoster(a.Roster, time.Now())
		if a.Lease != nil {
			s.Holder.Renewed(sent)
		}
		s.pollSoon()
		return
	}
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		s.countReason("sardinetiller_roster_conflicts_total", "race")
		s.pollSoon()
	}
}

// proposal returns the transaction of a proposal. It fails if a lease that the
// proposal drops has been renewed since the decision.
func (s *Server) proposal(a leaser.Propose) (tabler.Txn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	roster, err := encoder.Marshal(a.Roster)
	if err != nil {
		return tabler.Txn{}, err
	}
	key := DomainPrefix(s.Config.Domain) + rosterInfix
	txn := tabler.Txn{
		Checks: []tabler.Check{{Key: key, Version: s.rosterRow.Version}},
		Puts:   []tabler.Put{{Key: key, Value: roster}},
	}
	for _, d := range a.DeleteLeases {
		row := s.leases[d.Incarnation]
		txn.Deletes = append(txn.Deletes, s.leaseKey(d.Incarnation))
		if d.Incarnation == s.Incarnation {
			continue
		}
		var current leaser.Lease
		if row.Version != 0 && (encoder.Unmarshal(row.Value, &current) != nil || current.Serial != d.Serial) {
			return tabler.Txn{}, errors.New("a member renewed its lease after the proposal was made")
		}
		txn.Checks = append(txn.Checks, tabler.Check{Key: s.leaseKey(d.Incarnation), Version: row.Version})
	}
	if a.Lease != nil {
		value, err := encoder.Marshal(*a.Lease)
		if err != nil {
			return tabler.Txn{}, err
		}
		txn.Puts = append(txn.Puts, tabler.Put{Key: s.leaseKey(s.Incarnation), Value: value})
	}
	return txn, nil
}

func (s *Server) leaseKey(incarnation string) string {
	return DomainPrefix(s.Config.Domain) + leaseInfix + incarnation
}

func (s *Server) applyDrains(drains map[string]bool) {
	s.drains = drains
	names := make([]string, 0, len(drains))
	for name := range drains {
		names = append(names, name)
	}
	s.Fleet.Drain(names)
}

// Drained reports whether an operator drains the upstream.
func (s *Server) Drained(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drains[upstream]
}

func (s *Server) warnUndecodable(what string, err error) {
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "unreadable", "what", what, "err", err)
	}
}

func (s *Server) countReason(name, reason string) {
	s.Metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
}

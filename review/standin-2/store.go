package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	rows    map[string]row // by table and key
	version uint64
	delay   time.Duration          // of each answer
	refuses func(peer string) bool // answers 503 to a peer; nil: to none
	silent  func(peer string) bool // never answers a peer; nil: none
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore(address string) *store {
	s := &store{changed: make(chan struct{}), rows: make(map[string]row), delay: 4 * time.Millisecond}
	l, err := net.Listen("tcp", address)
	check(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(wire("POST /{commit}"), s.commit)
	mux.HandleFunc(wire("GET /{read}"), s.get)
	mux.HandleFunc(wire("GET /{watch}"), s.feed)
	go func() { _ = http.Serve(l, s.faults(mux)) }()
	return s
}

func (s *store) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		delay, refuses, silent := s.delay, s.refuses, s.silent
		s.mu.Unlock()
		w.Header().Set("Store-Era", "0")
		w.Header().Set("Content-Type", "application/json")
		time.Sleep(delay)
		switch {
		case silent != nil && silent(peer):
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case refuses != nil && refuses(peer):
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
}

// write applies rows in one transaction. The caller holds mu.
func (s *store) write(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Put {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range tx.Expected {
		known := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if known.Removed {
			known.Version = 0
		}
		if known.Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{known}})
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Removed = true
	}
	s.write(append(tx.Put, tx.Remove...)...)
	_ = json.NewEncoder(w).Encode(map[string]any{"ver": s.version, "now_ms": time.Now().UnixMilli()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, one := range s.rows {
		if one.Table == q.Get("table") && one.Part == q.Get("part") && !one.Removed && one.Key >= q.Get("from") && (q.Get("to") == "" || one.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(rows) > limit
	rows = rows[:min(limit, len(rows))]
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Now().UnixMilli()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, one := range s.rows {
			if one.Table == q.Get("table") && one.Version > after {
				rows = append(rows, one)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "now_ms": time.Now().UnixMilli()})
		return
	}
}

// holder returns which instance leads a failure domain, as far as its row can be read.
func (s *store) holder(domain string, names []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := string(s.rows["tenure\x00\x00"+domain].Value)
	for _, n := range names {
		if strings.Contains(value, n) {
			return n
		}
	}
	return ""
}

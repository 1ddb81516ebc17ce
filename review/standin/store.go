//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeDelay is how long a call to the store takes.
const storeDelay = 4 * time.Millisecond

// A store is the platform's metadata store, as far as the gateway uses it.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	era     int
	down    bool          // all calls are answered 503
	changed chan struct{} // closed at each change
}

// A storeCopy is a copy of a store.
type storeCopy struct {
	rows    map[rowKey]row
	version uint64
}

// copy returns a copy of the store as it is now.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.rows), s.version}
}

// setDown makes the store answer all calls with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// returnFrom makes the store come back from a copy: what was written since is gone.
func (s *store) returnFrom(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.down = maps.Clone(c.rows), c.version, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the era of the store, and whether it is down.
func (s *store) state() (era int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.down
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

func newStore() (*store, error) {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /"+names.Commit, s.commit)
	mux.HandleFunc("GET /"+names.Get, s.get)
	mux.HandleFunc("GET /"+names.Feed, s.feed)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		era, down := s.state()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// write applies the rows of one transaction. The caller holds s.mu.
func (s *store) write(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	holds := true
	for _, e := range tx.Expected {
		now := s.rows[e.id()]
		if now.Removed {
			now = row{}
		}
		holds = holds && now.Version == e.Version
		if now.Version > 0 {
			current = append(current, now)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.reply(w, current, nil)
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Removed = true
		tx.Remove[i].Value = nil
	}
	s.write(append(tx.Put, tx.Remove...)...)
	s.reply(w, nil, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.rowsAfter(q.Get("table"), q.Get("part"), 0)
	rows = slices.DeleteFunc(rows, func(row row) bool {
		return row.Removed || row.Key < q.Get("from") || q.Get("to") != "" && row.Key >= q.Get("to")
	})
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := false
	s.reply(w, rows, &more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for late := false; ; {
		s.mu.Lock()
		rows, changed := s.rowsAfter(q.Get("table"), q.Get("part"), after), s.changed
		if s.down || after > s.version {
			// The store went away, or it came back without the version that is asked for.
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		if len(rows) > 0 || late {
			s.reply(w, rows, nil)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// rowsAfter returns the rows of a table that changed after a version, in order. The caller holds
// s.mu.
func (s *store) rowsAfter(table, part string, after uint64) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
	return rows
}

// reply writes a response. The caller holds s.mu.
func (s *store) reply(w http.ResponseWriter, rows []row, more *bool) {
	body := map[string]any{"ver": s.version, "now_ms": time.Now().UnixMilli()}
	if rows != nil {
		body["rows"] = rows
	}
	if more != nil {
		body["has_more"] = *more
	}
	_ = json.NewEncoder(w).Encode(body)
}

// count returns how many rows of a table there are whose keys begin with a prefix.
func (s *store) count(table, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, r := range s.rows {
		if key.table == table && len(key.key) >= len(prefix) && key.key[:len(prefix)] == prefix && !r.Removed {
			n++
		}
	}
	return n
}

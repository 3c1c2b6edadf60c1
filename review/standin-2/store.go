package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as it is sent.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

// storeCopy is what the store held at a moment.
type storeCopy struct {
	version uint64
	rows    map[string]row
	changes []row
	at      time.Time
}

// store is a stand-in of the platform's store: rows, one version counter and feeds.
type store struct {
	mutex   sync.Mutex
	version uint64
	era     int
	rows    map[string]row
	changes []row
	changed chan struct{}
	started time.Time
	away    bool // calls are answered with 503
	calls   map[string]int
}

const (
	answerTime = 4 * time.Millisecond
	maxPage    = 500
)

func newStore() *store {
	return &store{era: 1, rows: map[string]row{}, changed: make(chan struct{}), started: time.Now(), calls: map[string]int{}}
}

// listen serves the store at a free port of an address and returns IP:port.
func (s *store) listen(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mutex.Lock()
	away, era := s.away, s.era
	s.mutex.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond writes rows. The caller holds the mutex.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool) {
	data, err := json.Marshal(map[string]any{
		"Rows": rows, "MorePages": more, "RowVersion": s.version, "NowMs": float64(time.Since(s.started).Microseconds()) / 1000,
	})
	must(err)
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	query := r.URL.Query()
	rows := []row{}
	for _, candidate := range s.rows {
		if candidate.Table == query.Get("Table") && candidate.Part == query.Get("part") && candidate.Key >= query.Get("From") &&
			(query.Get("To") == "" || candidate.Key < query.Get("To")) {
			rows = append(rows, candidate)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := maxPage
	if asked, err := strconv.Atoi(query.Get("Limit")); err == nil && asked > 0 {
		limit = min(limit, asked)
	}
	more := len(rows) > limit
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mutex.Lock()
		if s.away {
			w.WriteHeader(http.StatusServiceUnavailable)
			s.mutex.Unlock()
			return
		}
		if after > s.version {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
			w.WriteHeader(http.StatusGone)
			s.mutex.Unlock()
			return
		}
		rows := []row{}
		for _, change := range s.changes {
			if change.Table == query.Get("Table") && change.RowVersion > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || !waiting {
			s.respond(w, http.StatusOK, rows, false)
			s.mutex.Unlock()
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var transaction struct{ Expected, Put, Remove []row }
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, change := range slices.Concat(transaction.Put, transaction.Remove) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, expected := range transaction.Expected {
		if s.rows[expected.Table+"/"+expected.Key].RowVersion != expected.RowVersion {
			s.respond(w, http.StatusPreconditionFailed, []row{}, false)
			return
		}
	}
	s.version++
	for _, change := range transaction.Put {
		s.apply(change)
	}
	for _, change := range transaction.Remove {
		change.Deleted = true
		s.apply(change)
	}
	s.wake()
	s.respond(w, http.StatusOK, []row{}, false)
}

// apply changes a row at the current version. The caller holds the mutex.
func (s *store) apply(change row) {
	change.RowVersion = s.version
	s.changes = append(s.changes, change)
	if change.Deleted {
		delete(s.rows, change.Table+"/"+change.Key)
		return
	}
	s.rows[change.Table+"/"+change.Key] = change
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or a runner. It returns false while the
// store is away.
func (s *store) put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	must(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return false
	}
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)})
	s.wake()
	return true
}

func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

// value returns the decoded value of a row of the system's own table.
func (s *store) value(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, candidate := range s.rows {
		if candidate.Table != "op" && candidate.Table != "servers" && candidate.Key == key {
			data, _ := base64.StdEncoding.DecodeString(candidate.Value)
			return string(data)
		}
	}
	return ""
}

// ownKeys returns the keys of the system's own rows that begin with a prefix.
func (s *store) ownKeys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for _, candidate := range s.rows {
		if candidate.Table != "op" && candidate.Table != "servers" && strings.HasPrefix(candidate.Key, prefix) {
			keys = append(keys, candidate.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.wake()
}

func (s *store) copy() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows), changes: slices.Clone(s.changes), at: time.Now()}
}

// restore brings the store back from a copy, in the next era. What the operator wrote is
// written again at once; the runners write theirs by themselves.
func (s *store) restore(copied storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.rows
	s.era++
	s.version, s.rows, s.changes = copied.version, maps.Clone(copied.rows), slices.Clone(copied.changes)
	for id, known := range before {
		if known.Table == "op" && s.rows[id] != known {
			s.version++
			s.apply(row{Table: known.Table, Key: known.Key, Value: known.Value})
		}
	}
	s.away = false
	s.wake()
}

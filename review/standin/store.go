package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string `json:",omitempty"` // base64
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

func (row row) id() string { return row.Table + "\x00" + row.Part + "\x00" + row.Key }

// storeState is all that the store keeps. A copy of it is what a drill goes back to.
type storeState struct {
	rows    map[string]row
	log     []row // changes, oldest first
	version uint64
}

func (state *storeState) clone() storeState {
	return storeState{rows: maps.Clone(state.rows), log: slices.Clone(state.log), version: state.version}
}

// txTime is how long a transaction takes, TxMs of the settings.
const txTime = 5 * time.Millisecond

// store is a stand-in for the platform's store. It answers as PROTOCOL.md says.
type store struct {
	record  *record
	started time.Time
	server  *http.Server
	address string

	mutex   sync.Mutex
	state   storeState
	era     int
	away    bool
	changed chan struct{} // closed at the next change
	conns   []*storeConn
}

// storeConn is a connection that the store has accepted.
type storeConn struct {
	silent atomic.Bool // nothing is answered on it any more
}

// connKey is the key of a *storeConn in the context of a call.
type connKey struct{}

func newStore(record *record) *store {
	return &store{
		record: record, started: time.Now(), era: 1,
		state: storeState{rows: map[string]row{}}, changed: make(chan struct{}),
	}
}

// serve answers calls at an address until close.
func (store *store) serve(ip string) error {
	listener, err := listen(ip + ":0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", store.serveTx)
	mux.HandleFunc("GET /v1/rows-get", store.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", store.serveFeed)
	store.address, store.server = listener.Addr().String(), &http.Server{Handler: silencer{mux}, ConnContext: store.addConn}
	go func() { _ = store.server.Serve(listener) }()
	return nil
}

// addConn keeps a new connection.
func (store *store) addConn(ctx context.Context, _ net.Conn) context.Context {
	conn := &storeConn{}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.conns = append(store.conns, conn)
	return context.WithValue(ctx, connKey{}, conn)
}

// silence makes all connections that are open now silent for good. New ones work.
func (store *store) silence() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, conn := range store.conns {
		conn.silent.Store(true)
	}
}

// silencer holds back the answers on silent connections.
type silencer struct{ next http.Handler }

func (silencer silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*storeConn)
	if !ok {
		panic("a call without a connection")
	}
	if !conn.silent.Load() {
		silencer.next.ServeHTTP(&silentWriter{w, conn}, r)
	}
	if conn.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// silentWriter drops the answer on a silent connection.
type silentWriter struct {
	http.ResponseWriter

	conn *storeConn
}

func (silentWriter *silentWriter) WriteHeader(status int) {
	if !silentWriter.conn.silent.Load() {
		silentWriter.ResponseWriter.WriteHeader(status)
	}
}

func (silentWriter *silentWriter) Write(data []byte) (int, error) {
	if silentWriter.conn.silent.Load() {
		return len(data), nil
	}
	return silentWriter.ResponseWriter.Write(data)
}

func (store *store) close() { _ = store.server.Close() }

// put writes a row of the operator or of a runner and returns its version. It returns
// false while the store is away.
func (store *store) put(table, key string, value any) (uint64, bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.away {
		return 0, false
	}
	store.state.version++
	store.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data), RowVersion: store.state.version})
	store.notify()
	return store.state.version, true
}

// apply keeps a changed row. The caller holds the mutex.
func (store *store) apply(changed row) {
	if changed.Deleted {
		delete(store.state.rows, changed.id())
	} else {
		store.state.rows[changed.id()] = changed
	}
	store.state.log = append(store.state.log, changed)
}

func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// copy returns a copy of all that the store keeps now.
func (store *store) copy() storeState {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.state.clone()
}

// goAway makes the store answer 503 to all calls.
func (store *store) goAway() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = true
	store.notify()
}

// comeBack ends goAway. With a copy, the store comes back from that: versions go back,
// the era rises, and the rows of the operator and of the runners are written again.
func (store *store) comeBack(copied *storeState) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.away = false
	if copied != nil {
		before := store.state
		store.state = copied.clone()
		store.era++
		var again []row
		for id, old := range before.rows {
			if (old.Table == "op" || old.Table == "servers") && store.state.rows[id] != old {
				again = append(again, old)
			}
		}
		slices.SortFunc(again, func(a, b row) int { return strings.Compare(a.id(), b.id()) })
		for _, old := range again {
			store.state.version++
			old.RowVersion = store.state.version
			store.apply(old)
		}
	}
	store.notify()
}

// version returns the newest version.
func (store *store) version() uint64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.state.version
}

type storeAnswer struct {
	Rows       []row
	MorePages  bool
	RowVersion uint64
	NowMs      int64
}

// answer writes a response. The caller holds the mutex.
func (store *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Store-Era", strconv.Itoa(store.era))
	w.Header().Set("Content-Type", "application/json")
	if rows == nil {
		rows = []row{}
	}
	body, err := json.Marshal(storeAnswer{
		Rows: rows, RowVersion: store.state.version, NowMs: time.Since(store.started).Milliseconds() + 100_000,
	})
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// isAway answers 503 if the store is away. The caller holds the mutex.
func (store *store) isAway(w http.ResponseWriter) bool {
	if store.away {
		w.Header().Set("Store-Era", strconv.Itoa(store.era))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return store.away
}

type transaction struct {
	Expected, Put, Remove []row
}

func (store *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.isAway(w) {
		return
	}
	for _, written := range slices.Concat(tx.Put, tx.Remove) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	conflict := false
	for _, expected := range tx.Expected {
		found, ok := store.state.rows[expected.id()]
		if ok {
			current = append(current, found)
		}
		conflict = conflict || found.RowVersion != expected.RowVersion
	}
	if conflict {
		store.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	if len(tx.Put)+len(tx.Remove) > 0 {
		store.state.version++
	}
	for _, written := range tx.Put {
		written.RowVersion = store.state.version
		store.apply(written)
	}
	for _, removed := range tx.Remove {
		if _, ok := store.state.rows[removed.id()]; ok {
			store.apply(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, RowVersion: store.state.version, Deleted: true})
		}
	}
	store.notify()
	store.answer(w, http.StatusOK, nil)
}

func (store *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.isAway(w) {
		return
	}
	var rows []row
	for _, found := range store.state.rows {
		from, to := query.Get("From"), query.Get("To")
		if found.Table == query.Get("Table") && found.Part == query.Get("part") && found.Key >= from && (to == "" || found.Key < to) {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	store.answer(w, http.StatusOK, rows)
}

func (store *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	expired := false
	for {
		store.mutex.Lock()
		rows, gone := store.changes(query.Get("Table"), after)
		switch {
		case store.isAway(w):
		case gone:
			store.answer(w, http.StatusGone, nil)
		case len(rows) > 0 || expired:
			store.answer(w, http.StatusOK, rows)
		default:
			changed := store.changed
			store.mutex.Unlock()
			select {
			case <-changed:
			case <-deadline.C:
				expired = true
			case <-r.Context().Done():
				return
			}
			continue
		}
		store.mutex.Unlock()
		return
	}
}

// changes returns the changes of a table after a version, and whether the store does
// not have that version. The caller holds the mutex.
func (store *store) changes(table string, after uint64) ([]row, bool) {
	if after > store.state.version {
		return nil, true
	}
	var rows []row
	for _, changed := range store.state.log {
		if changed.Table == table && changed.RowVersion > after {
			rows = append(rows, changed)
		}
	}
	return rows, false
}

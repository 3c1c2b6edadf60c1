package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is how often runners write their entries, HeartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// returnGrace is how long after its return the store waits for runners to write entries again
// before it removes them.
const returnGrace = 2 * time.Second

// row is a row on the wire of the platform's store.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string `json:",omitempty"` // base64
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

// store is the platform's metadata store: tables of versioned rows, kept in memory.
type store struct {
	address string

	mutex    sync.Mutex
	version  uint64
	rows     map[string]row // by table and key
	history  []row
	changed  chan struct{}
	started  time.Time
	down     chan struct{} // closed when the outage ends, nil while the store serves
	returned time.Time
	written  map[string]time.Time // by key of a runner, its last write
	contents map[string]string    // by key of a runner, its entry without Sequence
	refused  int                  // calls without an answer
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &store{
		address: listener.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), started: time.Now(),
		written: map[string]time.Time{}, contents: map[string]string{},
	}
	go func() { _ = http.Serve(listener, store) }()
	go store.expire()
	return store, nil
}

// setDown ends or begins an outage: calls get no answer, and channels hang until its end.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	switch {
	case down && store.down == nil:
		store.down = make(chan struct{})
	case !down && store.down != nil:
		close(store.down)
		store.down, store.returned = nil, time.Now()
	}
}

// outage returns a channel that is closed at the end of the outage, nil for none.
func (store *store) outage() <-chan struct{} {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down != nil {
		store.refused++
	}
	return store.down
}

// silent waits for the end of an outage and then ends the channel of the call. It does nothing
// while the store serves.
func (store *store) silent(r *http.Request) {
	down := store.outage()
	if down == nil {
		return
	}
	select {
	case <-down:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (store *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store.silent(r)
	switch r.URL.Path {
	case "/v1/rows-get":
		store.get(w, r)
	case "/v1/rows-feed":
		store.feed(w, r)
	case "/v1/rows-tx":
		store.transact(w, r)
	case "/register": // of the runners, among the stand-ins only
		store.register(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) respond(w http.ResponseWriter, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "RowVersion": version, "NowMs": time.Since(store.started).Milliseconds(), "MorePages": false,
	})
}

func (store *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, to := query.Get("From"), query.Get("To")
	store.mutex.Lock()
	rows := []row{}
	for _, row := range store.rows {
		if row.Table == query.Get("Table") && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	version := store.version
	store.mutex.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	store.respond(w, rows, version)
}

func (store *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		store.mutex.Lock()
		rows := []row{}
		for _, row := range store.history {
			if row.Table == query.Get("Table") && row.RowVersion > after {
				rows = append(rows, row)
			}
		}
		changed, version := store.changed, store.version
		store.mutex.Unlock()
		if len(rows) > 0 || expired {
			store.silent(r)
			store.respond(w, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (store *store) transact(w http.ResponseWriter, r *http.Request) {
	var transaction struct{ Expected, Put, Remove []row }
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, row := range transaction.Expected {
		if store.rows[row.Table+"/"+row.Key].RowVersion != row.RowVersion {
			w.Header().Set("Store-Era", "1")
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = w.Write([]byte(`{"Rows":[]}`))
			return
		}
	}
	for _, row := range transaction.Put {
		store.write(row)
	}
	for _, row := range transaction.Remove {
		row.Deleted = true
		store.write(row)
	}
	store.respond(w, []row{}, store.version)
}

// write changes a row. The caller holds the mutex.
func (store *store) write(changed row) {
	store.version++
	changed.RowVersion = store.version
	store.history = append(store.history, changed)
	if changed.Deleted {
		delete(store.rows, changed.Table+"/"+changed.Key)
	} else {
		store.rows[changed.Table+"/"+changed.Key] = changed
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a row of the operator.
func (store *store) put(table, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
}

// register takes the entry that a runner writes. The row changes if more than its Sequence
// does.
func (store *store) register(w http.ResponseWriter, r *http.Request) {
	var entry map[string]any
	if json.NewDecoder(r.Body).Decode(&entry) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.URL.Query().Get("id")
	value, _ := json.Marshal(entry)
	delete(entry, "Sequence")
	content, _ := json.Marshal(entry)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.written[id] = time.Now()
	if _, listed := store.rows["servers/"+id]; !listed || store.contents[id] != string(content) {
		store.contents[id] = string(content)
		store.write(row{Table: "servers", Key: id, Value: base64.StdEncoding.EncodeToString(value)})
	}
}

// expire removes the entries of runners that have been silent for three intervals. It removes
// none while the store is down or has just returned.
func (store *store) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		store.mutex.Lock()
		for key, row := range store.rows {
			if strings.HasPrefix(key, "servers/") && store.down == nil && time.Since(store.returned) > returnGrace &&
				time.Since(store.written[row.Key]) > 3*heartbeatInterval {
				row.Deleted = true
				store.write(row)
			}
		}
		store.mutex.Unlock()
	}
}

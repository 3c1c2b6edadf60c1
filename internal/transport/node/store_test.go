package node_test

import (
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
)

// storeStandIn is a stand-in of the platform's store: rows by table and key,
// one counter of versions, and feeds of changes.
type storeStandIn struct {
	mutex   sync.Mutex
	version uint64
	rows    map[string]storedRow // by table and key
	log     []storedRow
	changed chan struct{}
	begun   time.Time
}

type storedRow struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

func newStore() *storeStandIn {
	return &storeStandIn{rows: map[string]storedRow{}, changed: make(chan struct{}), begun: time.Now()}
}

// door is one address of the store, which can fall silent.
type door struct {
	store   *storeStandIn
	silent  atomic.Bool
	release chan struct{}
	address string
}

func (store *storeStandIn) door(t *testing.T) *door {
	t.Helper()
	door := &door{store: store, release: make(chan struct{})}
	server := httptest.NewServer(door)
	door.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		close(door.release)
		server.CloseClientConnections()
		server.Close()
	})
	return door
}

func (door *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if door.silent.Load() {
		<-door.release
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		door.store.get(w, r)
	case "/v1/rows-feed":
		door.store.feed(w, r, door)
	case "/v1/rows-tx":
		door.store.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (store *storeStandIn) answer(w http.ResponseWriter, rows []storedRow) {
	data, err := json.Marshal(map[string]any{
		"Rows": rows, "MorePages": false, "RowVersion": store.version, "NowMs": time.Since(store.begun).Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data)
}

func (store *storeStandIn) get(w http.ResponseWriter, r *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	query := r.URL.Query()
	rows := []storedRow{}
	for _, row := range store.rows {
		if row.Table == query.Get("Table") && row.Key >= query.Get("From") && (query.Get("To") == "" || row.Key < query.Get("To")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	store.answer(w, rows)
}

func (store *storeStandIn) feed(w http.ResponseWriter, r *http.Request, door *door) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		rows := []storedRow{}
		for _, row := range store.log {
			if row.Table == query.Get("Table") && row.RowVersion > after {
				rows = append(rows, row)
			}
		}
		changed := store.changed
		store.mutex.Unlock()
		if len(rows) > 0 {
			store.finish(w, door, rows)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			store.finish(w, door, rows)
			return
		}
	}
}

func (store *storeStandIn) finish(w http.ResponseWriter, door *door, rows []storedRow) {
	if door.silent.Load() {
		<-door.release
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.answer(w, rows)
}

func (store *storeStandIn) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []storedRow }
	if err := json.UnmarshalRead(r.Body, &tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, row := range tx.Expected {
		if store.rows[row.Table+"/"+row.Key].RowVersion != row.RowVersion {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, row := range tx.Put {
		store.write(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		store.write(row)
	}
	store.answer(w, nil)
}

// write changes a row; the lock is held.
func (store *storeStandIn) write(row storedRow) {
	store.version++
	row.RowVersion = store.version
	store.log = append(store.log, row)
	if row.Deleted {
		delete(store.rows, row.Table+"/"+row.Key)
	} else {
		store.rows[row.Table+"/"+row.Key] = row
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes a row as the operator or a target does.
func (store *storeStandIn) put(table, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(storedRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
}

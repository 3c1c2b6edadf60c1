// Package mirror replicates tables of the platform's store among the instances.
// A few instances read from the store and serve their copies to the others, so
// that the number of calls to the store does not grow with the number of
// instances, and an instance that the store rejects still gets the tables.
//
// Mirror is the serving side. Source is the reading side: it reads a table from
// a mirror or from the store and fails over between them.
package mirror

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/codec"
	"mangopier.example/mangopier/internal/state/table"
)

// procedure is the Connect path of the only call.
const procedure = "/mangopier.mirror.v1.Mirror/Watch"

// Bounds of what one side keeps of what the other sends.
const (
	maxRequestBytes = 64 << 10
	maxTableBytes   = 64 << 20 // 12,000 targets take some 5 MB
)

// WatchRequest asks for all rows of a table, or for the changes after a version.
type WatchRequest struct {
	Table  string `cbor:"1,keyasint"`
	BootID uint64 `cbor:"2,keyasint,omitempty"` // of the mirror run that returned After, 0 for all rows
	After  uint64 `cbor:"3,keyasint,omitempty"` // version
	WaitMS int64  `cbor:"4,keyasint,omitempty"` // longest wait for a change
}

// WatchResponse returns all rows of a table, or its changes.
type WatchResponse struct {
	BootID   uint64         `cbor:"1,keyasint"`           // of this run of the mirror
	Version  uint64         `cbor:"2,keyasint"`           // to be sent as After in the next request
	Snapshot bool           `cbor:"3,keyasint,omitempty"` // Changes holds all rows
	Changes  []table.Change `cbor:"4,keyasint,omitempty"`
	AgeMS    int64          `cbor:"5,keyasint"`           // time since the last response of the mirror's own source
	Era      uint64         `cbor:"6,keyasint,omitempty"` // of the store, as of the last change; 0 if unknown
	// TurnedAway states that the store failed the mirror's last call, or that its response
	// is overdue, so that the store may tell others more than the mirror does.
	TurnedAway bool `cbor:"7,keyasint,omitempty"`
}

// maxLoggedChanges is how many changes of a table are kept for readers. A reader
// that is further behind gets all rows.
const maxLoggedChanges = 512

// Mirror serves the copies of tables that an instance holds. Its methods may be
// called by several goroutines.
type Mirror struct {
	bootID uint64

	mutex  sync.Mutex
	tables map[string]*tableState
}

// tableState is one table with its latest changes.
type tableState struct {
	rows        map[string]table.Change
	changeLog   []table.Change // latest changes, oldest first
	version     uint64         // number of changes so far, 0 before the first list
	era         uint64         // highest of the changes so far
	lastContact func() time.Time
	turnedAway  func() bool
	changed     chan struct{} // closed at the next change
}

// New returns a mirror without tables.
func New() *Mirror {
	return &Mirror{bootID: rand.Uint64() | 1, tables: map[string]*tableState{}}
}

// TeeOption configures a table of a mirror.
type TeeOption func(*tableState)

// WithTurnedAway sets the function that reports whether the store failed the last call for
// the table. By default it never did.
func WithTurnedAway(turnedAway func() bool) TeeOption {
	return func(tableState *tableState) { tableState.turnedAway = turnedAway }
}

// Tee returns a follow.Applier that records the changes of a table for other
// instances and passes them on to next. The table is served under the given
// name. LastContact returns when the table's source last responded.
func (mirror *Mirror) Tee(name string, next follow.Applier, lastContact func() time.Time, opts ...TeeOption) follow.Applier {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	tableState := &tableState{rows: map[string]table.Change{}, lastContact: lastContact, turnedAway: func() bool { return false }, changed: make(chan struct{})}
	for _, opt := range opts {
		opt(tableState)
	}
	mirror.tables[name] = tableState
	return tee{mirror: mirror, name: name, next: next}
}

type tee struct {
	mirror *Mirror
	name   string
	next   follow.Applier
}

// Apply records changes and passes them on.
func (tee tee) Apply(changes []table.Change) {
	tee.mirror.record(tee.name, changes)
	tee.next.Apply(changes)
}

func (mirror *Mirror) record(name string, changes []table.Change) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	tableState := mirror.tables[name]
	if tableState.version > 0 && len(changes) == 0 {
		return
	}
	for _, change := range changes {
		tableState.era = max(tableState.era, change.Era)
		if change.Deleted {
			delete(tableState.rows, change.Key)
		} else {
			tableState.rows[change.Key] = change
		}
	}
	tableState.version += uint64(max(1, len(changes)))
	tableState.changeLog = append(tableState.changeLog, changes...)
	tableState.changeLog = tableState.changeLog[max(0, len(tableState.changeLog)-maxLoggedChanges):]
	close(tableState.changed)
	tableState.changed = make(chan struct{})
}

// Handler returns the path of the Watch call and its handler.
func (mirror *Mirror) Handler() (string, http.Handler) {
	return procedure, connect.NewUnaryHandler(procedure, mirror.watch, connect.WithCodec(codec.CBOR{}), connect.WithReadMaxBytes(maxRequestBytes))
}

func (mirror *Mirror) watch(ctx context.Context, request *connect.Request[WatchRequest]) (*connect.Response[WatchResponse], error) {
	message := request.Msg
	response, changed, err := mirror.respond(message)
	if err != nil {
		return nil, err
	}
	if response.Snapshot || len(response.Changes) > 0 || message.WaitMS <= 0 {
		return connect.NewResponse(response), nil
	}
	// Respond as soon as the response of the store is overdue or the table is too
	// old, so that the reader turns to the store at once.
	age, limit := time.Duration(response.AgeMS)*time.Millisecond, maxTableAge
	if age <= overdueTableAge {
		limit = overdueTableAge
	}
	wait := min(time.Duration(message.WaitMS)*time.Millisecond, max(0, limit-age)+time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	response, _, err = mirror.respond(message)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// respond returns the response to a request without waiting, and a channel that
// is closed at the next change.
func (mirror *Mirror) respond(message *WatchRequest) (*WatchResponse, <-chan struct{}, error) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	tableState, ok := mirror.tables[message.Table]
	if !ok || tableState.version == 0 {
		return nil, nil, connect.NewError(connect.CodeUnavailable, code.Errorf(code.RowMissing, "no table %q yet", message.Table))
	}
	response := &WatchResponse{
		BootID: mirror.bootID, Version: tableState.version, AgeMS: time.Since(tableState.lastContact()).Milliseconds(),
		Era: tableState.era,
	}
	response.TurnedAway = tableState.turnedAway() || response.AgeMS > overdueTableAge.Milliseconds()
	missing := tableState.version - message.After
	if message.BootID == mirror.bootID && message.After <= tableState.version && missing <= uint64(len(tableState.changeLog)) {
		response.Changes = append(response.Changes, tableState.changeLog[uint64(len(tableState.changeLog))-missing:]...)
		return response, tableState.changed, nil
	}
	response.Snapshot = true
	for _, row := range tableState.rows {
		response.Changes = append(response.Changes, row)
	}
	return response, tableState.changed, nil
}

// Package mirror passes tables of the platform's store on among the instances.
// A few instances follow the store and serve what they have to the others, so
// that calls to the store do not grow with the site, and an instance that the
// store turns away still learns what the others know.
package mirror

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// procedure is the path of the one call.
const procedure = "/mangopier.mirror.v1.Mirror/Watch"

// WatchRequest asks for a table, or for what has changed in it.
type WatchRequest struct {
	Table  string `cbor:"1,keyasint"`
	Boot   uint64 `cbor:"2,keyasint,omitempty"` // of the mirror that gave After, 0 for the whole table
	After  uint64 `cbor:"3,keyasint,omitempty"`
	WaitMS int64  `cbor:"4,keyasint,omitempty"`
}

// WatchResponse is a table, or what has changed in it.
type WatchResponse struct {
	Boot    uint64         `cbor:"1,keyasint"`
	Next    uint64         `cbor:"2,keyasint"`
	Whole   bool           `cbor:"3,keyasint,omitempty"` // all rows, not changes
	Changes []table.Change `cbor:"4,keyasint,omitempty"`
	AgeMS   int64          `cbor:"5,keyasint"` // since the mirror last heard from its own source
}

// codec encodes the messages.
type codec struct{}

// Name returns the codec's name on the wire.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// journalLength is how many changes of a table are kept for those that wait.
const journalLength = 512

// Mirror serves the tables that an instance has.
type Mirror struct {
	boot uint64

	mutex  sync.Mutex
	tables map[string]*mirrored
}

// mirrored is one table.
type mirrored struct {
	rows    map[string]table.Change
	journal []table.Change // the newest changes
	next    uint64         // number of changes so far
	heard   func() time.Time
	changed chan struct{} // closed at the next change
}

// New returns a mirror without tables.
func New() *Mirror {
	return &Mirror{boot: rand.Uint64() | 1, tables: map[string]*mirrored{}}
}

// Tee returns a copy that records a table under a name and hands changes on.
// Heard tells when the table's source was last heard of.
func (mirror *Mirror) Tee(name string, next follow.Applier, heard func() time.Time) follow.Applier {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.tables[name] = &mirrored{rows: map[string]table.Change{}, heard: heard, changed: make(chan struct{})}
	return tee{mirror: mirror, name: name, next: next}
}

type tee struct {
	mirror *Mirror
	name   string
	next   follow.Applier
}

// Apply records changes and hands them on.
func (tee tee) Apply(changes []table.Change) {
	tee.mirror.record(tee.name, changes)
	tee.next.Apply(changes)
}

func (mirror *Mirror) record(name string, changes []table.Change) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirrored := mirror.tables[name]
	if mirrored.next > 0 && len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if change.Deleted {
			delete(mirrored.rows, change.Key)
		} else {
			mirrored.rows[change.Key] = change
		}
	}
	mirrored.next += uint64(max(1, len(changes)))
	mirrored.journal = append(mirrored.journal, changes...)
	mirrored.journal = mirrored.journal[max(0, len(mirrored.journal)-journalLength):]
	close(mirrored.changed)
	mirrored.changed = make(chan struct{})
}

// Handler returns the path and the handler of the call.
func (mirror *Mirror) Handler() (string, http.Handler) {
	return procedure, connect.NewUnaryHandler(procedure, mirror.watch, connect.WithCodec(codec{}))
}

func (mirror *Mirror) watch(ctx context.Context, request *connect.Request[WatchRequest]) (*connect.Response[WatchResponse], error) {
	message := request.Msg
	response, changed, err := mirror.answer(message)
	if err != nil {
		return nil, err
	}
	if response.Whole || len(response.Changes) > 0 || message.WaitMS <= 0 {
		return connect.NewResponse(response), nil
	}
	// Once the table is too old, its reader must know at once.
	age := time.Duration(response.AgeMS) * time.Millisecond
	wait := min(time.Duration(message.WaitMS)*time.Millisecond, max(0, freshAge-age)+time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	response, _, err = mirror.answer(message)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// answer returns what there is, and a channel that is closed at the next
// change.
func (mirror *Mirror) answer(message *WatchRequest) (*WatchResponse, <-chan struct{}, error) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirrored, ok := mirror.tables[message.Table]
	if !ok || mirrored.next == 0 {
		return nil, nil, connect.NewError(connect.CodeUnavailable, code.Errorf(code.RowMissing, "no table %q yet", message.Table))
	}
	response := &WatchResponse{
		Boot: mirror.boot, Next: mirrored.next, AgeMS: time.Since(mirrored.heard()).Milliseconds(),
	}
	behind := mirrored.next - message.After
	if message.Boot == mirror.boot && message.After <= mirrored.next && behind <= uint64(len(mirrored.journal)) {
		response.Changes = append(response.Changes, mirrored.journal[uint64(len(mirrored.journal))-behind:]...)
		return response, mirrored.changed, nil
	}
	response.Whole = true
	for _, row := range mirrored.rows {
		response.Changes = append(response.Changes, row)
	}
	return response, mirrored.changed, nil
}

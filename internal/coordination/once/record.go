package once

import (
	"encoding/json"
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const rowPrefix = "once/"

// state is the state of a row.
type state string

const (
	// claimed rows may have been sent by the ticket with the row's nonce.
	claimed state = "claimed"
	// released rows were never sent, and may be claimed again.
	released state = "released"
	// done rows hold the outcome of the call.
	done state = "done"
)

// record is the value of a row.
type record struct {
	State       state    `json:"state"`
	Nonce       string   `json:"nonce"` // of the ticket that wrote the row
	Fingerprint string   `json:"fingerprint"`
	ClaimedMS   int64    `json:"claimed-ms"` // wall clock of the claim
	Outcome     *Outcome `json:"outcome,omitempty"`
	Object      string   `json:"object,omitempty"` // key of the body, if it is an object
}

func (guard *Guard) newRecord(call Call) record {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	return record{
		State:       claimed,
		Nonce:       fmt.Sprintf("%016x%016x", guard.random.Uint64(), guard.random.Uint64()),
		Fingerprint: call.fingerprint(),
		ClaimedMS:   time.Now().UnixMilli(),
	}
}

func (record record) write(key string, version uint64) (table.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return table.Write{}, code.Errorf(code.Internal, "cannot encode row %s: %w", key, err)
	}
	return table.Write{Key: key, Version: version, Value: value}, nil
}

func decode(row table.Row) (record, error) {
	var record record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, malformed(row.Key, err.Error())
	}
	known := record.State == claimed || record.State == released || record.State == done
	if !known || record.Nonce == "" {
		return record, malformed(row.Key, "state or nonce is missing")
	}
	if record.State == done && record.Outcome == nil {
		return record, malformed(row.Key, "outcome is missing")
	}
	return record, nil
}

// malformed says that a call may have run, since a row of its key exists.
func malformed(key, reason string) error {
	err := code.Errorf(code.RowMalformed, "row %s: %s", key, reason)
	return code.WithRun(err, code.RunUnknown)
}

package once

import (
	"encoding/json"
	"fmt"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

const rowPrefix = "once/"

type state string

const (
	// stateClaimed: the call may have been sent by the ticket with the row's nonce.
	stateClaimed state = "claimed"
	// stateReleased: the call was not sent, and the key may be claimed again.
	stateReleased state = "released"
	// stateDone: the row holds the outcome of the call.
	stateDone state = "done"
)

// record is the value of a row, encoded as JSON.
type record struct {
	State       state    `json:"state"`
	Nonce       string   `json:"nonce"` // identifies the ticket that wrote the row
	Fingerprint string   `json:"fingerprint"`
	ClaimedMS   int64    `json:"claimed-ms"` // Unix time of the claim
	Outcome     *Outcome `json:"outcome,omitempty"`
	Object      string   `json:"object,omitempty"` // key of the body in the object store, if it is there
}

func (deduplicator *Deduplicator) newRecord(call Call) record {
	deduplicator.mu.Lock()
	defer deduplicator.mu.Unlock()
	return record{
		State:       stateClaimed,
		Nonce:       fmt.Sprintf("%016x%016x", deduplicator.random.Uint64(), deduplicator.random.Uint64()),
		Fingerprint: call.fingerprint(),
		ClaimedMS:   time.Now().UnixMilli(),
	}
}

func (record record) newWrite(key string, version uint64) (table.Write, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return table.Write{}, code.Errorf(code.Internal, "cannot encode row %s: %w", key, err)
	}
	return table.Write{Key: key, ExpectedVersion: version, Value: value}, nil
}

func decode(row table.Row) (record, error) {
	var record record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, malformedRow(row.Key, err.Error())
	}
	known := record.State == stateClaimed || record.State == stateReleased || record.State == stateDone
	if !known || record.Nonce == "" {
		return record, malformedRow(row.Key, "state or nonce is missing")
	}
	if record.State == stateDone && record.Outcome == nil {
		return record, malformedRow(row.Key, "outcome is missing")
	}
	return record, nil
}

// malformedRow returns an error with code.RunUnknown: since a row exists for the
// key, a call may have run.
func malformedRow(key, reason string) error {
	err := code.Errorf(code.RowMalformed, "row %s: %s", key, reason)
	return code.WithRunStatus(err, code.RunUnknown)
}

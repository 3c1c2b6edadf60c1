package lease

import (
	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// epochRecord is the value of the epoch row.
type epochRecord struct {
	Epoch  uint64 `json:"epoch"`
	Holder string `json:"holder"`
	Nonce  string `json:"nonce"` // unique to the takeover
}

// heartbeatRecord is the value of the heartbeat row.
type heartbeatRecord struct {
	Epoch    uint64 `json:"epoch"`
	Holder   string `json:"holder"`
	Nonce    string `json:"nonce"`    // unique to the takeover
	Sequence uint64 `json:"sequence"` // increases with each renewal sent
	Released bool   `json:"released,omitempty"`
}

func decodeEpoch(row table.Row) (epochRecord, error) {
	var record epochRecord
	err := decode(row, &record)
	if err == nil && (record.Epoch == 0 || record.Nonce == "") {
		err = code.Errorf(code.RowMalformed, "row %s has no epoch or nonce", row.Key)
	}
	return record, err
}

func decodeHeartbeat(row table.Row) (heartbeatRecord, error) {
	var record heartbeatRecord
	err := decode(row, &record)
	if err == nil && (record.Epoch == 0 || record.Nonce == "") {
		err = code.Errorf(code.RowMalformed, "row %s has no epoch or nonce", row.Key)
	}
	return record, err
}

// decode ignores fields that a newer build has added.
func decode(row table.Row, dst any) error {
	err := json.Unmarshal(row.Value, dst)
	return code.Wrap(err, code.RowMalformed, "row "+row.Key)
}

func encode(record any) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // cannot happen: the records hold only strings, numbers and booleans
	}
	return data
}

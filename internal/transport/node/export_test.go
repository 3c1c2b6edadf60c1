package node

import "github.com/fxamacker/cbor/v2"

// MinDrainTime is the time that a stopping instance keeps serving.
const MinDrainTime = minDrainTime

// RecodeHeartbeat decodes a heartbeat, or a message about usage, and encodes it again.
func RecodeHeartbeat(data []byte) ([]byte, error) {
	var message heartbeat
	if err := cbor.Unmarshal(data, &message); err != nil {
		return nil, err
	}
	return cbor.Marshal(message)
}

package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Announcements keeps how often pending changes of stages were told.
type Announcements struct{ announcements }

// Next returns whether the next round has to go to all instances.
func (announcements *Announcements) Next(pending map[string]time.Duration) bool {
	return announcements.next(pending)
}

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

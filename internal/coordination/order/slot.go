package order

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// record is what this process knows about one row. Issuer.mu guards it.
type record struct {
	key            string
	claimed        bool   // a call is using the row
	cacheValid     bool   // ticket and version match the row
	ticket         Ticket // zero if there is no row
	version        uint64
	lastWriteAt    time.Time // last write by this process, successful or not
	lastSend       sendState
	highestDropped uint64    // highest number that must never be sent
	foreignTicket  TicketID  // last open ticket of another process
	foreignSeenAt  time.Time // when this process first saw foreignTicket
	settledAt      time.Time // reports of a state from before this time are stale
}

// sendState describes the last order that was sent or may have been sent.
type sendState struct {
	number          uint64
	endedAt         time.Time // when the answer arrived or the wait for it ended; until then, when sending began
	reportedBootID  string    // boot ID in the target's report before the order
	connectedBootID string    // boot ID that the target sent on the order's connection
}

// claim reserves a row for one call, or returns an error with code.OrderOpen if
// another call has reserved it.
func (issuer *Issuer) claim(key string) (*record, error) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record := issuer.recordFor(key)
	if record.claimed {
		return nil, code.Errorf(code.OrderOpen, "another call is using row %s", key)
	}
	record.claimed = true
	return record, nil
}

func (issuer *Issuer) release(record *record) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.claimed = false
}

// cacheTicket caches the content of the row. Version 0 together with a ticket
// means that the version is unknown and the row has to be read again.
func (issuer *Issuer) cacheTicket(record *record, ticket Ticket, version uint64) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.ticket = ticket
	record.version = version
	record.cacheValid = version != 0 || ticket.Number == 0
}

// invalidate makes the next loadTicket read the row from the store.
func (issuer *Issuer) invalidate(record *record) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.cacheValid = false
}

func (issuer *Issuer) cachedTicket(record *record) (Ticket, uint64, bool) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return record.ticket, record.version, record.cacheValid
}

// beginSend records that an order is about to be sent. It returns an error with
// code.LeaseLost if the ticket was dropped.
func (issuer *Issuer) beginSend(record *record, number uint64, reportedBootID string) error {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if number <= record.highestDropped {
		return code.Errorf(code.LeaseLost, "order %d of row %s was dropped at the request of the next lease holder", number, record.key)
	}
	record.lastSend = sendState{number: number, endedAt: time.Now(), reportedBootID: reportedBootID}
	return nil
}

// endSend records that the answer arrived or that the wait for it ended.
func (issuer *Issuer) endSend(record *record, connectedBootID string) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.lastSend.connectedBootID = connectedBootID
	record.lastSend.endedAt = time.Now()
}

func (issuer *Issuer) lastSend(record *record) sendState {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return record.lastSend
}

// markSettled makes all earlier reports of the target stale.
func (issuer *Issuer) markSettled(record *record) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	record.settledAt = time.Now()
}

// isFresh reports whether the state that a target had at stateAt includes the
// effects of all settled orders, whichever process sent them.
func (issuer *Issuer) isFresh(record *record, stateAt time.Time) bool {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return !stateAt.Before(record.settledAt) && !stateAt.Before(issuer.grantSeenAt)
}

// timeSinceFirstSeen returns how long ago this process first saw an open ticket
// of another process.
func (issuer *Issuer) timeSinceFirstSeen(record *record, ticket Ticket) time.Duration {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if record.foreignTicket != ticket.ID() {
		record.foreignTicket = ticket.ID()
		record.foreignSeenAt = time.Now()
	}
	return time.Since(record.foreignSeenAt)
}

// BlockedTargets returns the ticket state of each target whose last ticket is not
// closed, by target ID. The map is complete after Recover while this process
// holds the lease; before that it holds only the targets that this process knows
// of. Such targets are sent no orders, and abandoned ones should get no work
// either.
func (issuer *Issuer) BlockedTargets() map[string]State {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	blocked := map[string]State{}
	for _, record := range issuer.records {
		ticket := record.ticket
		if ticket.Target.ID != "" && ticket.State != StateClosed {
			blocked[ticket.Target.ID] = ticket.State
		}
	}
	return blocked
}

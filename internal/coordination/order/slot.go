package order

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
)

// slot is what this process knows of one row. The issuer's mutex guards it.
type slot struct {
	key     string
	busy    bool   // a call works on the row
	known   bool   // ticket and version are those of the row
	ticket  Ticket // zero if there is no row
	version uint64
	written time.Time // last write by this process
	sent    departure
	dropped uint64    // highest number that is never to be sent
	found   Reference // last open ticket of another process
	foundAt time.Time // when it was first seen
	settled time.Time // reports of a state before this time do not count
}

// departure is what is known of the last order that may have left.
type departure struct {
	number uint64
	at     time.Time // when the answer came or the wait for it ended
	before string    // boot of the target in the report before
	boot   string    // boot of the target on the order's connection
}

// claim reserves a row for one call.
func (issuer *Issuer) claim(key string) (*slot, error) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot := issuer.slotOf(key)
	if slot.busy {
		return nil, code.Errorf(code.OrderOpen, "another call works on %s", key)
	}
	slot.busy = true
	return slot, nil
}

func (issuer *Issuer) unclaim(slot *slot) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.busy = false
}

// remember records what the row holds. Version 0 with a ticket means that the
// version has to be read.
func (issuer *Issuer) remember(slot *slot, ticket Ticket, version uint64) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.ticket = ticket
	slot.version = version
	slot.known = version != 0 || ticket.Number == 0
}

// expire makes the next load read the row.
func (issuer *Issuer) expire(slot *slot) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.known = false
}

func (issuer *Issuer) recall(slot *slot) (Ticket, uint64, bool) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return slot.ticket, slot.version, slot.known
}

// depart records that an order is about to leave, unless its ticket was
// dropped.
func (issuer *Issuer) depart(slot *slot, number uint64, before string) error {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if number <= slot.dropped {
		return code.Errorf(code.LeaseLost, "order %d on %s was dropped for a successor", number, slot.key)
	}
	slot.sent = departure{number: number, at: time.Now(), before: before}
	return nil
}

// arrived records the end of a departure.
func (issuer *Issuer) arrived(slot *slot, boot string) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.sent.boot = boot
	slot.sent.at = time.Now()
}

func (issuer *Issuer) departureOf(slot *slot) departure {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return slot.sent
}

// settle makes reports count only from now on.
func (issuer *Issuer) settle(slot *slot) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	slot.settled = time.Now()
}

// fresh reports whether a state of the time since shows the effect of all
// orders that were settled before, whoever sent them.
func (issuer *Issuer) fresh(slot *slot, since time.Time) bool {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	return !since.Before(slot.settled) && !since.Before(issuer.began)
}

// seenFor returns for how long this process has known an open ticket.
func (issuer *Issuer) seenFor(slot *slot, ticket Ticket) time.Duration {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if slot.found != ticket.Reference() {
		slot.found = ticket.Reference()
		slot.foundAt = time.Now()
	}
	return time.Since(slot.foundAt)
}

// Blocked returns the state of the targets whose last ticket is not closed, by
// ID, as far as this process knows: all of them after Recover while it holds
// the lease. They get no orders; abandoned ones should get no work either.
func (issuer *Issuer) Blocked() map[string]State {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	blocked := map[string]State{}
	for _, slot := range issuer.slots {
		ticket := slot.ticket
		if ticket.Target.ID != "" && ticket.State != StateClosed {
			blocked[ticket.Target.ID] = ticket.State
		}
	}
	return blocked
}

package order

import (
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

// State is the state of a ticket.
type State string

// States of tickets.
const (
	// StateOpen means that the order may be in flight.
	StateOpen State = "open"
	// StateClosed means that the order is settled.
	StateClosed State = "closed"
	// StateAbandoned means that an order may still reach the target at any later
	// time. The target gets no orders and no new work, and the platform replaces
	// it.
	StateAbandoned State = "abandoned"
)

// Outcome is the result of an order, with which its ticket was closed.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone means that the receiver acknowledged the order, or that the
	// target's state shows its effect.
	OutcomeDone Outcome = "done"
	// OutcomeSatisfied means that the target already was in the requested state
	// and no order was sent.
	OutcomeSatisfied Outcome = "satisfied"
	// OutcomeRefused means that the receiver refused the order.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotSent means that the order was never sent.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeFenced means that the order can no longer take effect; the
	// target's report shows whether it did.
	OutcomeFenced Outcome = "fenced"
	// OutcomeAbandoned means that it cannot be known whether the order takes
	// effect, now or later.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeDropped means that the writer confirmed that it never sends the
	// order.
	OutcomeDropped Outcome = "dropped"
	// OutcomeEnded means that the target process that the order was sent to has
	// ended. For an order to the platform, it means that the writer has ended.
	OutcomeEnded Outcome = "ended"
)

// Ticket is the state of the last order to one target, or of the last order of
// one data centre to the platform. It is stored in one row.
type Ticket struct {
	DataCenter string      `json:"data-center"`
	Target     note.Target `json:"target,omitzero"` // zero for orders to the platform
	Number     uint64      `json:"number"`
	Epoch      uint64      `json:"epoch"`   // of the lease grant under which it was written
	Writer     string      `json:"writer"`  // name of the instance
	Session    string      `json:"session"` // random ID of the writer's process
	State      State       `json:"state"`
	Outcome    Outcome     `json:"outcome,omitempty"`
	// ReplacesOpen means that the ticket replaced an open one, whose order may be
	// in flight too.
	ReplacesOpen  bool          `json:"inherited,omitempty"`
	Order         Order         `json:"order,omitzero"`
	PlatformOrder PlatformOrder `json:"platform,omitzero"`
	WrittenAt     time.Time     `json:"written"` // by the writer's clock, for display only
}

// TicketID identifies one ticket in messages between processes.
type TicketID struct {
	RowKey  string `json:"key"` // of the row
	Number  uint64 `json:"number"`
	Session string `json:"session"`
}

// ID returns the identifier of the ticket.
func (ticket Ticket) ID() TicketID {
	return TicketID{RowKey: ticket.rowKey(), Number: ticket.Number, Session: ticket.Session}
}

func (ticket Ticket) rowKey() string {
	if ticket.Target.ID == "" {
		return platformKey(ticket.DataCenter)
	}
	return targetKey(ticket.DataCenter, ticket.Target.ID)
}

// isSameWrite reports whether two tickets come from the same write of a row.
func (ticket Ticket) isSameWrite(other Ticket) bool {
	return ticket.ID() == other.ID() && ticket.State == other.State && ticket.Order.Kind == other.Order.Kind
}

func (ticket Ticket) encode() []byte {
	data, err := json.Marshal(ticket, json.Deterministic(true))
	if err != nil {
		panic(err) // cannot happen: all fields of a ticket can be encoded
	}
	return data
}

// decodeTicket decodes a row. The error has code.RowMalformed, also if the
// ticket belongs to another key.
func decodeTicket(row table.Row) (Ticket, error) {
	var ticket Ticket
	if err := json.Unmarshal(row.Value, &ticket, json.RejectUnknownMembers(true)); err != nil {
		return Ticket{}, code.Wrap(err, code.RowMalformed, "decode ticket row "+row.Key)
	}
	if ticket.rowKey() != row.Key || ticket.Number == 0 || ticket.Session == "" {
		return Ticket{}, code.Errorf(code.RowMalformed, "row %s holds a ticket of another key, or one without number or session", row.Key)
	}
	switch ticket.State {
	case StateOpen, StateClosed, StateAbandoned:
		return ticket, nil
	default:
		return Ticket{}, code.Errorf(code.RowMalformed, "row %s has unknown ticket state %q", row.Key, ticket.State)
	}
}

func targetPrefix(dataCenter string) string {
	return "order/" + dataCenter + "/"
}

func targetKey(dataCenter, target string) string {
	return targetPrefix(dataCenter) + target
}

func platformKey(dataCenter string) string {
	return "platform-order/" + dataCenter
}

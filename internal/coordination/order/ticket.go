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
	// StateOpen means that the order may be under way.
	StateOpen State = "open"
	// StateClosed means that the order is settled.
	StateClosed State = "closed"
	// StateAbandoned means that an order may arrive at the target at any later
	// time. The target gets no orders and no new work; the platform replaces
	// it.
	StateAbandoned State = "abandoned"
)

// Outcome tells how a ticket was closed.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone means that the target acknowledged the order, or that its
	// state shows the order's effect.
	OutcomeDone Outcome = "done"
	// OutcomeSatisfied means that no order was needed.
	OutcomeSatisfied Outcome = "satisfied"
	// OutcomeRefused means that the receiver refused the order.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotSent means that the order never left its writer.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeFenced means that the order can no longer take effect; the
	// target's state tells whether it did.
	OutcomeFenced Outcome = "fenced"
	// OutcomeAbandoned means that nobody can tell whether the order takes
	// effect, now or later.
	OutcomeAbandoned Outcome = "abandoned"
	// OutcomeDropped means that the writer promised never to send the order.
	OutcomeDropped Outcome = "dropped"
	// OutcomeEnded means that the process that the order went to has ended, or
	// towards the platform that the writer has.
	OutcomeEnded Outcome = "ended"
)

// Ticket is the state of the orders to one target, or of those to the platform
// for one data centre.
type Ticket struct {
	DataCenter string      `json:"data-center"`
	Target     note.Target `json:"target,omitzero"` // zero towards the platform
	Number     uint64      `json:"number"`
	Epoch      uint64      `json:"epoch"`   // of the lease under which it was written
	Writer     string      `json:"writer"`  // instance
	Session    string      `json:"session"` // process of the writer
	State      State       `json:"state"`
	Outcome    Outcome     `json:"outcome,omitempty"`
	// Inherited means that the ticket took the place of an open one, whose order
	// may be under way too.
	Inherited bool          `json:"inherited,omitempty"`
	Order     Order         `json:"order,omitzero"`
	Platform  PlatformOrder `json:"platform,omitzero"`
	Written   time.Time     `json:"written"` // on the writer's clock, for display only
}

// Reference names one ticket among processes.
type Reference struct {
	Key     string `json:"key"` // of the row
	Number  uint64 `json:"number"`
	Session string `json:"session"`
}

// Reference returns the name of the ticket.
func (ticket Ticket) Reference() Reference {
	return Reference{Key: ticket.key(), Number: ticket.Number, Session: ticket.Session}
}

func (ticket Ticket) key() string {
	if ticket.Target.ID == "" {
		return platformKey(ticket.DataCenter)
	}
	return targetKey(ticket.DataCenter, ticket.Target.ID)
}

// same reports whether two tickets are the same write.
func (ticket Ticket) same(other Ticket) bool {
	return ticket.Reference() == other.Reference() && ticket.State == other.State && ticket.Order.Kind == other.Order.Kind
}

func (ticket Ticket) encode() []byte {
	data, err := json.Marshal(ticket, json.Deterministic(true))
	if err != nil {
		panic(err) // a ticket holds plain values only
	}
	return data
}

// decodeTicket reads a row and refuses one that is not a ticket of its key.
func decodeTicket(row table.Row) (Ticket, error) {
	var ticket Ticket
	if err := json.Unmarshal(row.Value, &ticket, json.RejectUnknownMembers(true)); err != nil {
		return Ticket{}, code.Wrap(err, code.RowMalformed, "row "+row.Key)
	}
	if ticket.key() != row.Key || ticket.Number == 0 || ticket.Session == "" {
		return Ticket{}, code.Errorf(code.RowMalformed, "row %s holds no ticket of this key", row.Key)
	}
	switch ticket.State {
	case StateOpen, StateClosed, StateAbandoned:
		return ticket, nil
	default:
		return Ticket{}, code.Errorf(code.RowMalformed, "row %s has state %q", row.Key, ticket.State)
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

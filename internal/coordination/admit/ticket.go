package admit

import "container/heap"

// Ticket is a request that a Scheduler has granted or enqueued.
type Ticket struct {
	Request   Request
	team      *team
	sequence  uint64
	heapIndex int // in the team's queue, -1 if not waiting
	granted   bool
	released  bool
}

// Granted reports whether the request may run.
func (ticket *Ticket) Granted() bool {
	return ticket.granted
}

// precedes reports whether the ticket goes before another of the same team: by
// higher priority, then in order of arrival.
func (ticket *Ticket) precedes(other *Ticket) bool {
	if ticket.Request.Priority != other.Request.Priority {
		return ticket.Request.Priority > other.Request.Priority
	}
	return ticket.sequence < other.sequence
}

// ticketHeap is a heap of waiting requests of a team, in the order of precedes.
type ticketHeap []*Ticket

func (ticketHeap ticketHeap) Len() int { return len(ticketHeap) }

func (ticketHeap ticketHeap) Less(i, j int) bool {
	return ticketHeap[i].precedes(ticketHeap[j])
}

func (ticketHeap ticketHeap) Swap(i, j int) {
	ticketHeap[i], ticketHeap[j] = ticketHeap[j], ticketHeap[i]
	ticketHeap[i].heapIndex, ticketHeap[j].heapIndex = i, j
}

func (ticketHeap *ticketHeap) Push(item any) {
	ticket := item.(*Ticket)
	ticket.heapIndex = len(*ticketHeap)
	*ticketHeap = append(*ticketHeap, ticket)
}

func (ticketHeap *ticketHeap) Pop() any {
	last := len(*ticketHeap) - 1
	ticket := (*ticketHeap)[last]
	(*ticketHeap)[last] = nil
	*ticketHeap = (*ticketHeap)[:last]
	ticket.heapIndex = -1
	return ticket
}

// team is the state of one team that has requests, or past work still charged to
// it.
type team struct {
	name             string
	weight           float64
	weightFraction   float64 // fraction of the weight that applies at this instance
	waiting          ticketHeap
	waitingCost      float64 // cost units of waiting requests
	inFlightCost     float64 // cost units of requests in flight
	inFlightRequests int
	virtualStart     float64 // virtual time at which the first waiting request may start
	virtualFinish    float64 // virtual time at which all granted requests end
	heapIndex        int     // among the backlogged teams, -1 if no request waits
}

// localWeight returns the weight that the team's work at this instance is
// charged against.
func (team *team) localWeight() float64 {
	return team.weight * team.weightFraction
}

func (team *team) push(ticket *Ticket) {
	heap.Push(&team.waiting, ticket)
	team.waitingCost += ticket.Request.Cost
}

func (team *team) remove(ticket *Ticket) {
	heap.Remove(&team.waiting, ticket.heapIndex)
	team.waitingCost -= ticket.Request.Cost
	if len(team.waiting) == 0 {
		team.waitingCost = 0
	}
}

// teamHeap is a heap of teams with waiting requests, ordered by virtual start.
type teamHeap []*team

func (teamHeap teamHeap) Len() int { return len(teamHeap) }

func (teamHeap teamHeap) Less(i, j int) bool {
	if teamHeap[i].virtualStart != teamHeap[j].virtualStart {
		return teamHeap[i].virtualStart < teamHeap[j].virtualStart
	}
	return teamHeap[i].name < teamHeap[j].name
}

func (teamHeap teamHeap) Swap(i, j int) {
	teamHeap[i], teamHeap[j] = teamHeap[j], teamHeap[i]
	teamHeap[i].heapIndex, teamHeap[j].heapIndex = i, j
}

func (teamHeap *teamHeap) Push(item any) {
	team := item.(*team)
	team.heapIndex = len(*teamHeap)
	*teamHeap = append(*teamHeap, team)
}

func (teamHeap *teamHeap) Pop() any {
	last := len(*teamHeap) - 1
	team := (*teamHeap)[last]
	(*teamHeap)[last] = nil
	*teamHeap = (*teamHeap)[:last]
	team.heapIndex = -1
	return team
}

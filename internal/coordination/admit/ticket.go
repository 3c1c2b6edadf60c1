package admit

import "container/heap"

// Ticket is a request in a scheduler.
type Ticket struct {
	Request  Request
	team     *team
	sequence uint64
	index    int // place in the team's queue, -1 when not waiting
	granted  bool
	released bool
}

// Granted reports whether the request may run.
func (ticket *Ticket) Granted() bool {
	return ticket.granted
}

// goesBefore orders the requests of one team by priority and age.
func (ticket *Ticket) goesBefore(other *Ticket) bool {
	if ticket.Request.Priority != other.Request.Priority {
		return ticket.Request.Priority > other.Request.Priority
	}
	return ticket.sequence < other.sequence
}

// tickets is a heap of waiting requests of a team, by priority and age.
type tickets []*Ticket

func (tickets tickets) Len() int { return len(tickets) }

func (tickets tickets) Less(i, j int) bool {
	return tickets[i].goesBefore(tickets[j])
}

func (tickets tickets) Swap(i, j int) {
	tickets[i], tickets[j] = tickets[j], tickets[i]
	tickets[i].index, tickets[j].index = i, j
}

func (tickets *tickets) Push(item any) {
	ticket := item.(*Ticket)
	ticket.index = len(*tickets)
	*tickets = append(*tickets, ticket)
}

func (tickets *tickets) Pop() any {
	last := len(*tickets) - 1
	ticket := (*tickets)[last]
	(*tickets)[last] = nil
	*tickets = (*tickets)[:last]
	ticket.index = -1
	return ticket
}

// team is the state of one team that has work or owes for past work.
type team struct {
	name     string
	weight   float64
	part     float64 // part of the weight that the team has at this instance
	waiting  tickets
	queued   float64 // cost units that wait
	running  float64 // cost units in flight
	inFlight int     // requests
	start    float64 // virtual time at which the first waiting request may start
	finish   float64 // virtual time at which the work granted so far ends
	index    int     // place among the active teams, -1 when nothing waits
}

// share returns the weight against which the team's work is charged here.
func (team *team) share() float64 {
	return team.weight * team.part
}

func (team *team) push(ticket *Ticket) {
	heap.Push(&team.waiting, ticket)
	team.queued += ticket.Request.Cost
}

func (team *team) remove(ticket *Ticket) {
	heap.Remove(&team.waiting, ticket.index)
	team.queued -= ticket.Request.Cost
	if len(team.waiting) == 0 {
		team.queued = 0
	}
}

// teams is a heap of teams with waiting requests, by virtual start.
type teams []*team

func (teams teams) Len() int { return len(teams) }

func (teams teams) Less(i, j int) bool {
	if teams[i].start != teams[j].start {
		return teams[i].start < teams[j].start
	}
	return teams[i].name < teams[j].name
}

func (teams teams) Swap(i, j int) {
	teams[i], teams[j] = teams[j], teams[i]
	teams[i].index, teams[j].index = i, j
}

func (teams *teams) Push(item any) {
	team := item.(*team)
	team.index = len(*teams)
	*teams = append(*teams, team)
}

func (teams *teams) Pop() any {
	last := len(*teams) - 1
	team := (*teams)[last]
	(*teams)[last] = nil
	*teams = (*teams)[:last]
	team.index = -1
	return team
}

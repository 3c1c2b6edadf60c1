package gossip

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// Handle merges the message of another instance and returns the reply. A
// malformed message has no effect; its error has code.MessageMalformed.
//
// The message may have been under way for long, so it proves no note to be
// the newest.
func (members *Members) Handle(_ context.Context, state *peerpb.State) (*peerpb.State, error) {
	if err := checkState(state); err != nil {
		members.refuse("request", err)
		return nil, err
	}
	members.merge(state)
	return members.stateFor(state.GetSender()), nil
}

// outcome is how an exchange that this instance began ended.
type outcome struct {
	peer   Instance
	sentAt time.Time
	reply  *peerpb.State
	err    error
}

func (members *Members) exchange(ctx context.Context, peer Instance) outcome {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	state := members.stateFor(peer.ID)
	outcome := outcome{peer: peer, sentAt: time.Now()}
	outcome.reply, outcome.err = members.exchanger.Exchange(ctx, peer.Address, state)
	if outcome.err == nil {
		outcome.err = checkState(outcome.reply)
	}
	return outcome
}

// finish merges a reply. Its proof was written after the request was sent, so
// on this instance's clock it is at least as recent as that, less its age.
func (members *Members) finish(outcome outcome) {
	if code.Is(outcome.err, code.MessageMalformed) {
		members.refuse("reply", outcome.err)
	}
	if outcome.err != nil {
		members.metrics.exchanges.WithLabelValues("failed").Inc()
		members.weighAnswer(outcome.peer.ID, answer{at: outcome.sentAt})
		return
	}
	members.metrics.exchanges.WithLabelValues("answered").Inc()
	reply := outcome.reply
	members.merge(reply)
	if reply.GetProven() {
		at := outcome.sentAt.Add(-milliseconds(reply.GetProofAgeMs()))
		members.notes.Witness(reply.GetNumber(), at)
	}
	if reply.GetSender() != outcome.peer.ID {
		members.weighAnswer(outcome.peer.ID, answer{at: outcome.sentAt})
	}
	members.weighAnswer(reply.GetSender(), answer{
		at: outcome.sentAt, ok: true, admitted: reply.GetAdmitted(), number: reply.GetNumber(),
	})
}

// merge takes what a checked message says.
func (members *Members) merge(state *peerpb.State) {
	var changed []Suspect
	members.mu.Lock()
	for _, heartbeat := range state.GetHeartbeats() {
		members.mergeHeartbeat(heartbeat)
	}
	for _, load := range state.GetLoads() {
		members.mergeLoad(load)
	}
	for _, message := range state.GetSuspects() {
		news := Suspect{
			Fingerprint: string(message.GetFingerprint()),
			Targets:     message.GetTargets(),
			Expires:     time.Now().Add(milliseconds(uint64(message.GetExpiresMs()))),
		}
		if merged, ok := members.mergeSuspect(news); ok {
			changed = append(changed, merged)
		}
	}
	members.mu.Unlock()
	members.notes.Offer(state.GetNumber())
	for _, suspect := range changed {
		for _, function := range members.onSuspect {
			function(suspect)
		}
	}
}

func (members *Members) refuse(side string, err error) {
	members.metrics.refused.WithLabelValues(side).Inc()
	members.log.Warn().Err(err).Str("side", side).Msg("peer message was refused")
}

// FetchNote asks instances that have the number of request, the latest seen
// first, until one gives it.
func (members *Members) FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	err := code.Errorf(code.PeerUnreachable, "no instance with note %d is known", request.GetNumber())
	for _, peer := range members.holders(request.GetNumber()) {
		var reply *peerpb.FetchNoteReply
		reply, err = members.exchanger.FetchNote(ctx, peer.Address, request)
		if err == nil {
			return reply, nil
		}
	}
	return nil, err
}

// holders returns a few instances that have a note, in random order.
func (members *Members) holders(number uint64) []Instance {
	members.mu.Lock()
	defer members.mu.Unlock()
	var holders []Instance
	for _, origin := range members.origins {
		if origin.heartbeat.GetNumber() >= number {
			holders = append(holders, instanceOf(origin.heartbeat))
		}
	}
	members.random.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders[:min(len(holders), holdersMax)]
}

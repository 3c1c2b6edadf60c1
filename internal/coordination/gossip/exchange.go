package gossip

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

// HandleExchange merges the message of another instance and returns the reply. A
// malformed message has no effect and returns an error with
// code.MessageMalformed.
//
// The message is not used as proof that a note is the newest, since its time in
// transit is unknown.
func (members *Members) HandleExchange(_ context.Context, state *peerpb.State) (*peerpb.State, error) {
	if err := validateState(state); err != nil {
		members.recordRefusal("request", err)
		return nil, err
	}
	members.merge(state)
	return members.newState(state.GetSender()), nil
}

// outcome is the result of an exchange that this instance started.
type outcome struct {
	peer   Instance
	sentAt time.Time
	reply  *peerpb.State
	err    error
}

func (members *Members) exchange(ctx context.Context, peer Instance) outcome {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	state := members.newState(peer.ID)
	outcome := outcome{peer: peer, sentAt: time.Now()}
	outcome.reply, outcome.err = members.client.Exchange(ctx, peer.PeerAddress, state)
	if outcome.err == nil {
		outcome.err = validateState(outcome.reply)
	}
	return outcome
}

// handleOutcome merges the reply and records the vote of the peer. The age in the
// reply was taken after the request was sent, so on this instance's clock the
// proof is at least as recent as the send time minus that age.
func (members *Members) handleOutcome(outcome outcome) {
	if code.Is(outcome.err, code.MessageMalformed) {
		members.recordRefusal("reply", outcome.err)
	}
	if outcome.err != nil {
		members.metrics.exchanges.WithLabelValues("failed").Inc()
		members.recordVote(outcome.peer.ID, vote{sentAt: outcome.sentAt})
		return
	}
	members.metrics.exchanges.WithLabelValues("answered").Inc()
	reply := outcome.reply
	members.merge(reply)
	if reply.GetProven() {
		at := outcome.sentAt.Add(-millisecondsToDuration(reply.GetProofAgeMs()))
		members.noteFeed.ObserveProof(reply.GetNumber(), at)
	}
	if reply.GetSender() != outcome.peer.ID {
		members.recordVote(outcome.peer.ID, vote{sentAt: outcome.sentAt})
	}
	members.recordVote(reply.GetSender(), vote{
		sentAt: outcome.sentAt, responded: true, admitted: reply.GetAdmitted(), noteNumber: reply.GetNumber(),
	})
}

// merge applies a validated message.
func (members *Members) merge(state *peerpb.State) {
	var changedSuspects []Suspect
	members.mu.Lock()
	for _, heartbeat := range state.GetHeartbeats() {
		members.mergeHeartbeat(heartbeat)
	}
	for _, load := range state.GetLoads() {
		members.mergeLoad(load)
	}
	for _, message := range state.GetSuspects() {
		update := Suspect{
			Fingerprint:    string(message.GetFingerprint()),
			CrashedTargets: message.GetTargets(),
			ExpiresAt:      time.Now().Add(millisecondsToDuration(uint64(message.GetExpiresMs()))),
		}
		if merged, ok := members.mergeSuspect(update); ok {
			changedSuspects = append(changedSuspects, merged)
		}
	}
	members.mu.Unlock()
	members.noteFeed.ObserveNumber(state.GetNumber())
	for _, suspect := range changedSuspects {
		for _, function := range members.onSuspect {
			function(suspect)
		}
	}
}

func (members *Members) recordRefusal(side string, err error) {
	members.metrics.refused.WithLabelValues(side).Inc()
	members.logger.Warn().Err(err).Str("side", side).Msg("peer message is malformed; ignoring it")
}

// FetchNote fetches a note from one of the peers that have the requested number or
// a later one, trying a few of them in random order. It returns the last error,
// or one with code.PeerUnreachable if no such peer is known.
func (members *Members) FetchNote(ctx context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	err := code.Errorf(code.PeerUnreachable, "no instance with note %d is known", request.GetNumber())
	for _, peer := range members.holders(request.GetNumber()) {
		var reply *peerpb.FetchNoteReply
		reply, err = members.client.FetchNote(ctx, peer.PeerAddress, request)
		if err == nil {
			return reply, nil
		}
	}
	return nil, err
}

// holders returns a few peers that have a note with the number or a later one, in
// random order.
func (members *Members) holders(number uint64) []Instance {
	members.mu.Lock()
	defer members.mu.Unlock()
	var holders []Instance
	for _, origin := range members.origins {
		if origin.heartbeat.GetNumber() >= number {
			holders = append(holders, newInstance(origin.heartbeat))
		}
	}
	members.random.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders[:min(len(holders), maxHolders)]
}

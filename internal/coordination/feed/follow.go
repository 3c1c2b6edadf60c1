package feed

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	peerFetchJitter          = 20 * time.Millisecond
	peerFetchRetryDelay      = 250 * time.Millisecond
	maxPeerFetchBackoffShift = 4
)

// ObserveNumber records that a peer has the note with a number. If the number is
// above the current one, the feed fetches the note from a peer, or from the store
// if no peer delivers it.
func (feed *Feed) ObserveNumber(number uint64) {
	if number <= feed.Number() {
		return
	}
	for old := feed.peerNumber.Load(); number > old; old = feed.peerNumber.Load() {
		if feed.peerNumber.CompareAndSwap(old, number) {
			break
		}
	}
	select {
	case feed.peerNumberSignal <- struct{}{}:
	default:
	}
}

// followPeers fetches the notes that peers announce, each after a random delay
// below peerFetchJitter.
func (feed *Feed) followPeers(ctx context.Context, stopped chan<- struct{}) {
	defer func() { stopped <- struct{}{} }()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-feed.peerNumberSignal:
		}
		pause.For(ctx, feed.randomBelow(peerFetchJitter))
		number := feed.peerNumber.Load()
		err := feed.fetchUpTo(ctx, number)
		if err == nil {
			failures = 0
			continue
		}
		failures = min(failures+1, maxPeerFetchBackoffShift)
		feed.backOffAfterFailedFetch(ctx, number, failures, err)
	}
}

// backOffAfterFailedFetch requests an early poll of the store, waits, and
// clears the announced number, so that the next fetch needs a new announcement.
func (feed *Feed) backOffAfterFailedFetch(ctx context.Context, number uint64, failures int, err error) {
	if !code.Is(err, code.PeerUnreachable) {
		feed.recordRefusal("peer", err)
	}
	select {
	case feed.pollSignal <- struct{}{}:
	default:
	}
	pause.For(ctx, feed.jitter(peerFetchRetryDelay<<failures))
	feed.peerNumber.CompareAndSwap(number, 0)
}

// fetchUpTo fetches notes from peers until the one with number is installed. It
// requests whole catalogs if many notes are missing or a note cannot be applied.
func (feed *Feed) fetchUpTo(ctx context.Context, number uint64) error {
	full := false
	for current := feed.Number(); current < number; current = feed.Number() {
		full = full || current == 0 || number-current > maxSingleNotes
		request := &peerpb.FetchNoteRequest{Number: current + 1, Full: full}
		reply, err := feed.peers.FetchNote(ctx, request)
		if err != nil {
			return err
		}
		err = feed.installReply(reply)
		if err == nil && feed.Number() == current {
			err = malformed("peer returned a note that is not newer than note %d", current)
		}
		if err != nil && full {
			return err
		}
		if err != nil {
			feed.recordRefusal("peer", err)
			full = true
		}
	}
	return nil
}

func (feed *Feed) installReply(reply *peerpb.FetchNoteReply) error {
	head, err := DecodeHead(reply.GetHead())
	if err != nil {
		return err
	}
	if len(reply.GetCatalog()) > 0 {
		return feed.installCatalog(head, nil, reply.GetCatalog())
	}
	return feed.installNote(head, reply.GetNote())
}

// FetchNote returns the note that a peer's request names, or the whole current
// catalog if the request asks for that or the note is no longer retained. Errors
// have code.RowMissing for a number above the current one.
func (feed *Feed) FetchNote(_ context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	current := feed.current.Load()
	if current == nil || request.GetNumber() > current.head.Number {
		return nil, code.Errorf(code.RowMissing, "note %d is not in force here", request.GetNumber())
	}
	for _, recent := range current.recent {
		if !request.GetFull() && recent.number == request.GetNumber() && len(recent.noteBytes) > 0 {
			return &peerpb.FetchNoteReply{Head: recent.headBytes, Note: recent.noteBytes}, nil
		}
	}
	newest := current.recent[len(current.recent)-1]
	return &peerpb.FetchNoteReply{Head: newest.headBytes, Catalog: current.catalogBytes}, nil
}

package feed

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
)

const (
	offerSpread     = 20 * time.Millisecond
	offerRetryDelay = 250 * time.Millisecond
	offerMaxShift   = 4
)

// Offer tells the feed that a peer has a note with a number. If it is above
// the one in force, the feed fetches it from a peer, or else from the store.
func (feed *Feed) Offer(number uint64) {
	if number <= feed.Number() {
		return
	}
	for old := feed.offered.Load(); number > old; old = feed.offered.Load() {
		if feed.offered.CompareAndSwap(old, number) {
			break
		}
	}
	select {
	case feed.offers <- struct{}{}:
	default:
	}
}

// follow fetches the notes that peers offer.
func (feed *Feed) follow(ctx context.Context, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-feed.offers:
		}
		pause.For(ctx, feed.randomBelow(offerSpread))
		number := feed.offered.Load()
		err := feed.fetch(ctx, number)
		if err == nil {
			failures = 0
			continue
		}
		failures = min(failures+1, offerMaxShift)
		feed.failOffer(ctx, number, failures, err)
	}
}

// failOffer forgets an offer that nobody kept, so that it has to be made
// again, and has the store read soon.
func (feed *Feed) failOffer(ctx context.Context, number uint64, failures int, err error) {
	if !code.Is(err, code.PeerUnreachable) {
		feed.refuse("peer", err)
	}
	select {
	case feed.hurry <- struct{}{}:
	default:
	}
	pause.For(ctx, feed.jitter(offerRetryDelay<<failures))
	feed.offered.CompareAndSwap(number, 0)
}

// fetch gets notes from peers until the one with number is in force.
func (feed *Feed) fetch(ctx context.Context, number uint64) error {
	full := false
	for current := feed.Number(); current < number; current = feed.Number() {
		full = full || current == 0 || number-current > deltasMax
		request := &peerpb.FetchNoteRequest{Number: current + 1, Full: full}
		reply, err := feed.peers.FetchNote(ctx, request)
		if err != nil {
			return err
		}
		err = feed.take(reply)
		if err == nil && feed.Number() == current {
			err = malformed("peer gave a note that is not above %d", current)
		}
		if err != nil && full {
			return err
		}
		if err != nil {
			feed.refuse("peer", err)
			full = true
		}
	}
	return nil
}

func (feed *Feed) take(reply *peerpb.FetchNoteReply) error {
	head, err := DecodeHead(reply.GetHead())
	if err != nil {
		return err
	}
	if len(reply.GetCatalog()) > 0 {
		return feed.installCatalog(head, nil, reply.GetCatalog())
	}
	return feed.installNote(head, reply.GetNote())
}

// FetchNote answers a peer with the note that it asks for, or with the whole
// catalog if it wants that or the note is no longer kept. Errors have
// code.RowMissing for a number above the one in force.
func (feed *Feed) FetchNote(_ context.Context, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	current := feed.inForce.Load()
	if current == nil || request.GetNumber() > current.head.Number {
		return nil, code.Errorf(code.RowMissing, "note %d is not in force here", request.GetNumber())
	}
	for _, entry := range current.recent {
		if !request.GetFull() && entry.number == request.GetNumber() && len(entry.noteBytes) > 0 {
			return &peerpb.FetchNoteReply{Head: entry.headBytes, Note: entry.noteBytes}, nil
		}
	}
	newest := current.recent[len(current.recent)-1]
	return &peerpb.FetchNoteReply{Head: newest.headBytes, Catalog: current.catalogBytes}, nil
}

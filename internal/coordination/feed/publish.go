package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
	"mangopier.example/mangopier/internal/state/table"
)

const (
	maxPublishAttempts = 6
	publishRetryDelay  = 200 * time.Millisecond
)

// Publish stores change as the next note and returns its number. It is
// idempotent: a note that was accepted before returns its number again.
//
// Errors have these codes: code.NoteConflict when another note has the number;
// code.NoteInvalid when the note cannot be applied to the catalog;
// code.StoreDown when nothing was accepted; code.WriteUnknown when the note may
// have been accepted, in which case publishing it again gives the outcome.
func Publish(ctx context.Context, store Store, change *note.Note) (number uint64, err error) {
	data, err := change.Encode()
	if err != nil {
		return 0, code.Wrap(err, code.NoteInvalid, "encode note")
	}
	publication := &publication{store: store, note: change, noteBytes: data}
	if err := publication.retryTransient(ctx, publication.prepare); err != nil {
		return 0, asNotAccepted(err)
	}
	if !publication.accepted {
		err = publication.commitHead(ctx)
	}
	if err != nil {
		return 0, err
	}
	return publication.head.Number, nil
}

// asNotAccepted converts an error from before the head row was written: an
// object that may or may not have been stored leaves nothing accepted.
func asNotAccepted(err error) error {
	if code.Is(err, code.WriteUnknown) {
		return code.Wrap(err, code.StoreDown, "store the note's objects")
	}
	return err
}

// publication is one attempt to publish a note.
type publication struct {
	store     Store
	note      *note.Note
	noteBytes []byte
	head      Head
	version   uint64 // of the parent's head row
	accepted  bool   // the log row holds the note already
}

// prepare stores the note and its catalog as objects and builds the head that
// refers to them. Objects without a head that refers to them have no effect.
func (publication *publication) prepare(ctx context.Context) error {
	parent, version, err := readHead(ctx, publication.store)
	if err != nil {
		return err
	}
	if parent.Number > publication.note.ParentNumber {
		return publication.resolveFromLog(ctx)
	}
	catalogBytes, err := publication.apply(ctx, parent)
	if err != nil {
		return err
	}
	publication.version = version
	publication.head = Head{
		Number:      parent.Number + 1,
		NoteHash:    note.ContentHash(publication.noteBytes),
		CatalogHash: note.ContentHash(catalogBytes),
		ParentHash:  parent.NoteHash,
		Nonce:       fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()),
	}
	if err := publication.store.Put(ctx, notePrefix+publication.head.NoteHash, publication.noteBytes); err != nil {
		return err
	}
	return publication.store.Put(ctx, catalogPrefix+publication.head.CatalogHash, catalogBytes)
}

// apply returns the encoded catalog after the note.
func (publication *publication) apply(ctx context.Context, parent Head) ([]byte, error) {
	catalog := note.EmptyCatalog()
	if parent.Number > 0 {
		data, err := fetchCatalog(ctx, publication.store, parent)
		if err != nil {
			return nil, err
		}
		catalog, err = decodeCatalog(data, parent)
		if err != nil {
			return nil, err
		}
	}
	next, err := catalog.Apply(publication.note)
	if err != nil {
		return nil, err
	}
	return next.Encode()
}

// commitHead writes the head row and its log row in one transaction. If the
// store's response is lost, the transaction is repeated; the expected versions
// make that safe. A version conflict is resolved by reading the log row.
func (publication *publication) commitHead(ctx context.Context) error {
	data, err := publication.head.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode head")
	}
	unknown := false
	err = publication.retryTransient(ctx, func(ctx context.Context) error {
		err := publication.store.Commit(ctx,
			table.Write{Key: HeadKey, ExpectedVersion: publication.version, Value: data},
			table.Write{Key: LogKey(publication.head.Number), Value: data})
		unknown = unknown || code.Is(err, code.WriteUnknown)
		if code.Is(err, code.RowConflict) {
			return publication.resolveFromLog(ctx)
		}
		return err
	})
	if unknown && code.Is(err, code.StoreDown) {
		return code.Wrap(err, code.WriteUnknown, "publish note")
	}
	return err
}

// resolveFromLog reads from the log row whether the note was accepted under its
// number, by this attempt or by another one for the same note. It fails with
// code.NoteConflict if another note has the number.
func (publication *publication) resolveFromLog(ctx context.Context) error {
	number := publication.note.ParentNumber + 1
	head, err := readLogHead(ctx, publication.store, number)
	if err != nil {
		return err
	}
	own := publication.head.Nonce != "" && head.Nonce == publication.head.Nonce
	if !own && head.NoteHash != note.ContentHash(publication.noteBytes) {
		return code.Errorf(code.NoteConflict, "number %d was taken by another note", number)
	}
	publication.head = head
	publication.accepted = true
	return nil
}

// retryTransient runs step until it succeeds, fails with an error that is not
// transient, or has run maxPublishAttempts times.
func (publication *publication) retryTransient(ctx context.Context, step func(context.Context) error) error {
	for attempt := 1; ; attempt++ {
		err := step(ctx)
		transient := code.Is(err, code.StoreDown) || code.Is(err, code.WriteUnknown)
		if !transient || attempt == maxPublishAttempts || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, publishRetryDelay/2+rand.N(publishRetryDelay))
	}
}

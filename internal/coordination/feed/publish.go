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
	publishAttempts   = 6
	publishRetryDelay = 200 * time.Millisecond
)

// Publish accepts release as the next note and returns its number. A note
// that is in force already, or was, returns its number again.
//
// Errors have these codes: code.NoteConflict when another note took the
// number; code.NoteInvalid when the note does not fit the catalog;
// code.StoreDown when nothing was accepted; code.WriteUnknown when the note
// may have been accepted, in which case publishing it again settles it.
func Publish(ctx context.Context, store Store, release *note.Note) (number uint64, err error) {
	data, err := release.Encode()
	if err != nil {
		return 0, code.Wrap(err, code.NoteInvalid, "encode note")
	}
	publication := &publication{store: store, note: release, noteBytes: data}
	if err := publication.retry(ctx, publication.prepare); err != nil {
		return 0, unaccepted(err)
	}
	if !publication.done {
		err = publication.accept(ctx)
	}
	if err != nil {
		return 0, err
	}
	return publication.head.Number, nil
}

// unaccepted returns err as seen before the head row was written: an object
// whose fate is unknown leaves nothing accepted.
func unaccepted(err error) error {
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
	version   uint64 // of the head row that the note follows
	done      bool   // the note was accepted before
}

// prepare stores the objects that the head will name. Objects that no head
// names have no effect.
func (publication *publication) prepare(ctx context.Context) error {
	parent, version, err := readHead(ctx, publication.store)
	if err != nil {
		return err
	}
	if parent.Number > publication.note.After {
		return publication.settle(ctx)
	}
	catalogBytes, err := publication.apply(ctx, parent)
	if err != nil {
		return err
	}
	publication.version = version
	publication.head = Head{
		Number:      parent.Number + 1,
		NoteHash:    note.Hash(publication.noteBytes),
		CatalogHash: note.Hash(catalogBytes),
		ParentHash:  parent.NoteHash,
		Nonce:       fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()),
	}
	if err := publication.store.Put(ctx, notePrefix+publication.head.NoteHash, publication.noteBytes); err != nil {
		return err
	}
	return publication.store.Put(ctx, catalogPrefix+publication.head.CatalogHash, catalogBytes)
}

func (publication *publication) apply(ctx context.Context, parent Head) ([]byte, error) {
	catalog := note.Empty()
	if parent.Number > 0 {
		data, err := loadCatalog(ctx, publication.store, parent)
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

// accept writes the head row and its log row in one transaction. A lost
// answer is settled by reading the log row, and by writing again while the
// row is absent, which the versions make safe.
func (publication *publication) accept(ctx context.Context) error {
	data, err := publication.head.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode head")
	}
	unknown := false
	err = publication.retry(ctx, func(ctx context.Context) error {
		err := publication.store.Commit(ctx,
			table.Write{Key: HeadKey, Version: publication.version, Value: data},
			table.Write{Key: LogKey(publication.head.Number), Value: data})
		unknown = unknown || code.Is(err, code.WriteUnknown)
		if code.Is(err, code.RowConflict) {
			return publication.settle(ctx)
		}
		return err
	})
	if unknown && code.Is(err, code.StoreDown) {
		return code.Wrap(err, code.WriteUnknown, "publish note")
	}
	return err
}

// settle tells from the log row whether the note was accepted under its
// number, by this attempt or another of the same note.
func (publication *publication) settle(ctx context.Context) error {
	number := publication.note.After + 1
	head, err := readLog(ctx, publication.store, number)
	if err != nil {
		return err
	}
	own := publication.head.Nonce != "" && head.Nonce == publication.head.Nonce
	if !own && head.NoteHash != note.Hash(publication.noteBytes) {
		return code.Errorf(code.NoteConflict, "another note has number %d", number)
	}
	publication.head = head
	publication.done = true
	return nil
}

// retry runs step until it succeeds, fails for good or has failed
// publishAttempts times.
func (publication *publication) retry(ctx context.Context, step func(context.Context) error) error {
	for attempt := 1; ; attempt++ {
		err := step(ctx)
		transient := code.Is(err, code.StoreDown) || code.Is(err, code.WriteUnknown)
		if !transient || attempt == publishAttempts || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, publishRetryDelay/2+rand.N(publishRetryDelay))
	}
}

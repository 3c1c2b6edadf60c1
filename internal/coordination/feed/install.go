package feed

import (
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// maxRecentNotes limits the notes that an instance retains for its peers.
const maxRecentNotes = 8

// snapshot holds the current note's catalog and the notes that peers may fetch.
// It is immutable.
type snapshot struct {
	head         Head
	catalog      *note.Catalog
	catalogBytes []byte
	recent       []recentNote // oldest first, ending at head
}

// recentNote is a note in the form sent to peers.
type recentNote struct {
	number    uint64
	headBytes []byte
	noteBytes []byte // empty if the whole catalog was fetched
}

// conflictsWith reports whether head differs from the snapshot's head of the
// same number, or is the next one and has another parent.
func (snapshot *snapshot) conflictsWith(head Head) bool {
	switch head.Number {
	case snapshot.head.Number:
		return head != snapshot.head
	case snapshot.head.Number + 1:
		return head.ParentHash != snapshot.head.NoteHash
	default:
		return false
	}
}

// installNote applies the note of head to the current catalog. A note that is
// not newer than the current one is ignored; a newer one must follow it directly.
func (feed *Feed) installNote(head Head, noteBytes []byte) error {
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	current := feed.current.Load()
	catalog, parentHash := note.EmptyCatalog(), ""
	if current != nil {
		catalog, parentHash = current.catalog, current.head.NoteHash
	}
	if head.Number <= catalog.Number {
		return nil
	}
	if head.Number != catalog.Number+1 || head.ParentHash != parentHash {
		return malformed("head %d does not follow the current note %d", head.Number, catalog.Number)
	}
	if err := checkHash(noteBytes, head.NoteHash); err != nil {
		return err
	}
	change, err := note.Decode(noteBytes)
	if err != nil {
		return err
	}
	next, err := catalog.Apply(change)
	if err != nil {
		return err
	}
	catalogBytes, err := next.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode catalog")
	}
	if err := checkHash(catalogBytes, head.CatalogHash); err != nil {
		return err
	}
	return feed.install(head, noteBytes, next, catalogBytes)
}

// installCatalog replaces the current catalog by the whole catalog of head. A
// catalog that is not newer than the current one is ignored.
func (feed *Feed) installCatalog(head Head, noteBytes, catalogBytes []byte) error {
	catalog, err := decodeCatalog(catalogBytes, head)
	if err != nil {
		return err
	}
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	current := feed.current.Load()
	if current != nil && head.Number <= current.head.Number {
		return nil
	}
	if current != nil && current.conflictsWith(head) {
		return malformed("head %d does not follow the current note %d", head.Number, current.head.Number)
	}
	return feed.install(head, noteBytes, catalog, catalogBytes)
}

// install makes the catalog of head the current one and calls the subscribers.
// It needs installMu.
func (feed *Feed) install(head Head, noteBytes []byte, catalog *note.Catalog, catalogBytes []byte) error {
	headBytes, err := head.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode head")
	}
	next := &snapshot{head: head, catalog: catalog, catalogBytes: catalogBytes}
	if current := feed.current.Load(); current != nil && current.head.Number+1 == head.Number {
		next.recent = append(next.recent, current.recent[max(0, len(current.recent)-maxRecentNotes+1):]...)
	}
	next.recent = append(next.recent, recentNote{number: head.Number, headBytes: headBytes, noteBytes: noteBytes})
	feed.setCurrent(next)
	feed.metrics.number.Set(float64(head.Number))
	feed.logger.Info().Uint64("number", head.Number).Msg("release note installed")
	for _, subscriber := range feed.subscribers {
		subscriber(catalog)
	}
	return nil
}

// recordRefusal counts and logs a row, note or catalog that was not installed.
func (feed *Feed) recordRefusal(reason string, err error) {
	feed.metrics.refused.WithLabelValues(reason).Inc()
	feed.logger.Warn().Err(err).Str("reason", reason).Msg("release note refused")
}

package feed

import (
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/note"
)

// recentMax is how many notes an instance keeps for its peers.
const recentMax = 8

// release is a note in force with what peers may ask for. It is never changed.
type release struct {
	head         Head
	catalog      *note.Catalog
	catalogBytes []byte
	recent       []entry // the newest last, ending at head
}

// entry is a note as peers get it.
type entry struct {
	number    uint64
	headBytes []byte
	noteBytes []byte // empty if the catalog came whole
}

// forks reports that head is another one than release's under its number, or
// follows another one.
func (release *release) forks(head Head) bool {
	switch head.Number {
	case release.head.Number:
		return head != release.head
	case release.head.Number + 1:
		return head.ParentHash != release.head.NoteHash
	default:
		return false
	}
}

// installNote puts the note of head in force, which must follow the one in
// force, unless its number is not above that.
func (feed *Feed) installNote(head Head, noteBytes []byte) error {
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	current := feed.inForce.Load()
	catalog, parentHash := note.Empty(), ""
	if current != nil {
		catalog, parentHash = current.catalog, current.head.NoteHash
	}
	if head.Number <= catalog.Number {
		return nil
	}
	if head.Number != catalog.Number+1 || head.ParentHash != parentHash {
		return malformed("head %d does not follow the note in force, %d", head.Number, catalog.Number)
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

// installCatalog puts the whole catalog of head in force, unless its number is
// not above the one in force.
func (feed *Feed) installCatalog(head Head, noteBytes, catalogBytes []byte) error {
	catalog, err := decodeCatalog(catalogBytes, head)
	if err != nil {
		return err
	}
	feed.installMu.Lock()
	defer feed.installMu.Unlock()
	current := feed.inForce.Load()
	if current != nil && head.Number <= current.head.Number {
		return nil
	}
	if current != nil && current.forks(head) {
		return malformed("head %d does not follow the note in force, %d", head.Number, current.head.Number)
	}
	return feed.install(head, noteBytes, catalog, catalogBytes)
}

func (feed *Feed) install(head Head, noteBytes []byte, catalog *note.Catalog, catalogBytes []byte) error {
	headBytes, err := head.Encode()
	if err != nil {
		return code.Wrap(err, code.Internal, "encode head")
	}
	next := &release{head: head, catalog: catalog, catalogBytes: catalogBytes}
	if current := feed.inForce.Load(); current != nil && current.head.Number+1 == head.Number {
		next.recent = append(next.recent, current.recent[max(0, len(current.recent)-recentMax+1):]...)
	}
	next.recent = append(next.recent, entry{number: head.Number, headBytes: headBytes, noteBytes: noteBytes})
	feed.reach(next)
	feed.metrics.number.Set(float64(head.Number))
	feed.log.Info().Uint64("number", head.Number).Msg("release note is in force")
	for _, subscriber := range feed.subscribers {
		subscriber(catalog)
	}
	return nil
}

// refuse counts and logs content that was not taken.
func (feed *Feed) refuse(reason string, err error) {
	feed.metrics.refused.WithLabelValues(reason).Inc()
	feed.log.Warn().Err(err).Str("reason", reason).Msg("release note was refused")
}

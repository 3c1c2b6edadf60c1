package note

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Catalog is what all notes up to a number add up to. A catalog in use is
// never changed; Apply returns a new one.
type Catalog struct {
	Number      uint64                `json:"number"`
	DataCenters map[string]DataCenter `json:"data-centers"`
	Models      map[string]Model      `json:"models"`
	Adapters    map[string]Adapter    `json:"adapters"`
	Teams       map[string]Team       `json:"teams"`
	Keys        map[string]Key        `json:"keys"`
	Routes      map[string]Route      `json:"routes"`
	Targets     map[string]Target     `json:"targets"`
	// Withdrawn holds the digests of withdrawn keys with the number of the
	// note that withdrew each. A withdrawn key never comes back.
	Withdrawn map[string]uint64 `json:"withdrawn"`
	// Gone holds the targets that were withdrawn by the latest GoneNotes notes,
	// until whoever issues orders has drained and stopped them.
	Gone map[string]GoneTarget `json:"gone"`
}

// GoneTarget is a withdrawn target and the note that withdrew it.
type GoneTarget struct {
	Target Target `json:"target"`
	Number uint64 `json:"number"`
}

// GoneNotes is for how many notes a withdrawn target is remembered.
const GoneNotes = 1000

// Empty returns the catalog before the first note.
func Empty() *Catalog {
	return &Catalog{
		DataCenters: map[string]DataCenter{},
		Models:      map[string]Model{},
		Adapters:    map[string]Adapter{},
		Teams:       map[string]Team{},
		Keys:        map[string]Key{},
		Routes:      map[string]Route{},
		Targets:     map[string]Target{},
		Withdrawn:   map[string]uint64{},
		Gone:        map[string]GoneTarget{},
	}
}

// Apply returns the catalog that note leaves, with the next number. It
// refuses a note that follows another number or leaves a catalog with
// references to nothing; the receiver stays as it is.
func (catalog *Catalog) Apply(note *Note) (*Catalog, error) {
	if note.After != catalog.Number {
		return nil, code.Errorf(code.NoteConflict, "note follows number %d, but %d is in force", note.After, catalog.Number)
	}
	next := &Catalog{
		Number:      catalog.Number + 1,
		DataCenters: changed(catalog.DataCenters, note.DataCenters, func(item DataCenter) string { return item.Name }),
		Models:      changed(catalog.Models, note.Models, func(item Model) string { return item.Name }),
		Adapters:    changed(catalog.Adapters, note.Adapters, func(item Adapter) string { return item.Name }),
		Teams:       changed(catalog.Teams, note.Teams, func(item Team) string { return item.Name }),
		Keys:        changed(catalog.Keys, note.Keys, func(item Key) string { return item.Digest }),
		Routes:      changed(catalog.Routes, note.Routes, func(item Route) string { return item.Path }),
		Targets:     changed(catalog.Targets, note.Targets, func(item Target) string { return item.ID }),
		Withdrawn:   catalog.Withdrawn,
		Gone:        catalog.gone(note),
	}
	if err := checkWithdrawals(catalog, note); err != nil {
		return nil, err
	}
	if len(note.Keys.Withdraw) > 0 {
		next.Withdrawn = maps.Clone(catalog.Withdrawn)
		for _, digest := range note.Keys.Withdraw {
			next.Withdrawn[digest] = next.Number
		}
	}
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

// gone returns the withdrawn targets after a note.
func (catalog *Catalog) gone(note *Note) map[string]GoneTarget {
	next := maps.Clone(catalog.Gone)
	for _, target := range note.Targets.Set {
		delete(next, target.ID)
	}
	number := catalog.Number + 1
	for _, id := range note.Targets.Withdraw {
		if target, ok := catalog.Targets[id]; ok {
			next[id] = GoneTarget{Target: target, Number: number}
		}
	}
	maps.DeleteFunc(next, func(_ string, gone GoneTarget) bool { return gone.Number+GoneNotes < number })
	return next
}

// Encode returns the catalog as JSON, the same bytes for equal catalogs.
func (catalog *Catalog) Encode() ([]byte, error) {
	return json.Marshal(catalog, json.Deterministic(true))
}

// DecodeCatalog reads what Encode wrote.
func DecodeCatalog(data []byte) (*Catalog, error) {
	catalog := Empty()
	if err := json.Unmarshal(data, catalog, json.RejectUnknownMembers(true)); err != nil {
		return nil, code.Wrap(err, code.RowMalformed, "decode catalog")
	}
	if err := catalog.check(); err != nil {
		return nil, code.Wrap(err, code.RowMalformed, "decode catalog")
	}
	return catalog, nil
}

// Digest returns the digest of a caller's key as notes carry it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Hash returns the digest of encoded notes or catalogs, by which they are
// stored.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func changed[T any](old map[string]T, change Change[T], nameOf func(T) string) map[string]T {
	if len(change.Set) == 0 && len(change.Withdraw) == 0 {
		return old
	}
	next := maps.Clone(old)
	for _, name := range change.Withdraw {
		delete(next, name)
	}
	for _, item := range change.Set {
		next[nameOf(item)] = item
	}
	return next
}

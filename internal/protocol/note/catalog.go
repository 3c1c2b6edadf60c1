package note

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
)

// Catalog is the result of all notes up to Number. It is immutable once in use:
// Apply returns a new one.
type Catalog struct {
	Number      uint64                `json:"number"`
	DataCenters map[string]DataCenter `json:"data-centers"`
	Models      map[string]Model      `json:"models"`
	Adapters    map[string]Adapter    `json:"adapters"`
	Teams       map[string]Team       `json:"teams"`
	Keys        map[string]Key        `json:"keys"`
	Routes      map[string]Route      `json:"routes"`
	Targets     map[string]Target     `json:"targets"`
	// WithdrawnKeys maps the digests of withdrawn keys to the number of the note
	// that withdrew them. A withdrawn key cannot be set again.
	WithdrawnKeys map[string]uint64 `json:"withdrawn"`
	// WithdrawnTargets holds the targets that the latest WithdrawnRetentionNotes
	// notes withdrew, by ID, so that the issuer of orders can drain and stop them.
	WithdrawnTargets map[string]WithdrawnTarget `json:"gone"`
}

// WithdrawnTarget is a withdrawn target and the number of the note that withdrew it.
type WithdrawnTarget struct {
	Target Target `json:"target"`
	Number uint64 `json:"number"`
}

// WithdrawnRetentionNotes is the number of notes for which a withdrawn target
// stays in Catalog.WithdrawnTargets.
const WithdrawnRetentionNotes = 1000

// EmptyCatalog returns the catalog before the first note.
func EmptyCatalog() *Catalog {
	return &Catalog{
		DataCenters:      map[string]DataCenter{},
		Models:           map[string]Model{},
		Adapters:         map[string]Adapter{},
		Teams:            map[string]Team{},
		Keys:             map[string]Key{},
		Routes:           map[string]Route{},
		Targets:          map[string]Target{},
		WithdrawnKeys:    map[string]uint64{},
		WithdrawnTargets: map[string]WithdrawnTarget{},
	}
}

// Apply returns the catalog that results from note, with the next number; the
// receiver is not changed. Errors have code.NoteConflict if the note does not
// follow the catalog's number, and code.NoteInvalid if the result would be
// invalid, for example by a reference to an item that does not exist.
func (catalog *Catalog) Apply(note *Note) (*Catalog, error) {
	if note.ParentNumber != catalog.Number {
		return nil, code.Errorf(code.NoteConflict, "note follows number %d, but the current number is %d", note.ParentNumber, catalog.Number)
	}
	next := &Catalog{
		Number:           catalog.Number + 1,
		DataCenters:      applyChange(catalog.DataCenters, note.DataCenters, func(item DataCenter) string { return item.Name }),
		Models:           applyChange(catalog.Models, note.Models, func(item Model) string { return item.Name }),
		Adapters:         applyChange(catalog.Adapters, note.Adapters, func(item Adapter) string { return item.Name }),
		Teams:            applyChange(catalog.Teams, note.Teams, func(item Team) string { return item.Name }),
		Keys:             applyChange(catalog.Keys, note.Keys, func(item Key) string { return item.Digest }),
		Routes:           applyChange(catalog.Routes, note.Routes, func(item Route) string { return item.Path }),
		Targets:          applyChange(catalog.Targets, note.Targets, func(item Target) string { return item.ID }),
		WithdrawnKeys:    catalog.WithdrawnKeys,
		WithdrawnTargets: catalog.withdrawnTargetsAfter(note),
	}
	if err := checkWithdrawals(catalog, note); err != nil {
		return nil, err
	}
	if len(note.Keys.Withdraw) > 0 {
		next.WithdrawnKeys = maps.Clone(catalog.WithdrawnKeys)
		for _, digest := range note.Keys.Withdraw {
			next.WithdrawnKeys[digest] = next.Number
		}
	}
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

// withdrawnTargetsAfter returns the value of WithdrawnTargets after a note.
func (catalog *Catalog) withdrawnTargetsAfter(note *Note) map[string]WithdrawnTarget {
	next := maps.Clone(catalog.WithdrawnTargets)
	for _, target := range note.Targets.Set {
		delete(next, target.ID)
	}
	number := catalog.Number + 1
	for _, id := range note.Targets.Withdraw {
		if target, ok := catalog.Targets[id]; ok {
			next[id] = WithdrawnTarget{Target: target, Number: number}
		}
	}
	maps.DeleteFunc(next, func(_ string, withdrawn WithdrawnTarget) bool {
		return withdrawn.Number+WithdrawnRetentionNotes < number
	})
	return next
}

// Encode returns the catalog as JSON. Equal catalogs give equal bytes.
func (catalog *Catalog) Encode() ([]byte, error) {
	return json.Marshal(catalog, json.Deterministic(true))
}

// DecodeCatalog decodes and checks a catalog written by Encode. Errors have
// code.RowMalformed.
func DecodeCatalog(data []byte) (*Catalog, error) {
	catalog := EmptyCatalog()
	if err := json.Unmarshal(data, catalog, json.RejectUnknownMembers(true)); err != nil {
		return nil, code.Wrap(err, code.RowMalformed, "decode catalog")
	}
	if err := catalog.check(); err != nil {
		return nil, code.Wrap(err, code.RowMalformed, "decode catalog")
	}
	return catalog, nil
}

// KeyDigest returns the digest of an API key in the form that notes use.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// ContentHash returns the hexadecimal SHA-256 hash under which an encoded note or
// catalog is stored.
func ContentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func applyChange[T any](items map[string]T, change Change[T], keyOf func(T) string) map[string]T {
	if len(change.Set) == 0 && len(change.Withdraw) == 0 {
		return items
	}
	next := maps.Clone(items)
	for _, name := range change.Withdraw {
		delete(next, name)
	}
	for _, item := range change.Set {
		next[keyOf(item)] = item
	}
	return next
}

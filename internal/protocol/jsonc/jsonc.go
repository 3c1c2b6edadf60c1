// Package jsonc reads JSON with comments strictly: unknown fields, repeated
// fields and values of the wrong type are errors that name the line and field.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Position is the place of a fault in a document.
type Position struct {
	Line  int    // from 1, 0 if not known
	Field string // JSON pointer, empty if not known
}

// Error is a fault of a document.
type Error struct {
	Position Position
	Reason   string
}

// Error returns the place and the reason in one line.
func (err *Error) Error() string {
	if err.Position.Field == "" {
		return fmt.Sprintf("line %d: %s", err.Position.Line, err.Reason)
	}
	return fmt.Sprintf("line %d, field %s: %s", err.Position.Line, err.Position.Field, err.Reason)
}

// Decode reads data into the value that dst points to. Fields that data does
// not name keep their values, so dst may hold defaults. A fault is an *Error.
func Decode(data []byte, dst any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{Reason: err.Error()}
	}
	err = json.Unmarshal(plain, dst, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return &Error{
			Position: positionAt(plain, semantic.ByteOffset, semantic.JSONPointer),
			Reason:   reasonOf(semantic),
		}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return &Error{
			Position: positionAt(plain, syntactic.ByteOffset, syntactic.JSONPointer),
			Reason:   syntactic.Err.Error(),
		}
	}
	return &Error{Reason: err.Error()}
}

// Locate returns the position of the field that a JSON pointer names, for
// faults that are found after decoding.
func Locate(data []byte, pointer string) Position {
	value, err := hujson.Parse(data)
	if err != nil {
		return Position{Field: pointer}
	}
	found := value.Find(pointer)
	if found == nil {
		return Position{Field: pointer}
	}
	return positionAt(data, int64(found.StartOffset), jsontext.Pointer(pointer))
}

func reasonOf(err *json.SemanticError) string {
	switch {
	case errors.Is(err.Err, json.ErrUnknownName):
		return "unknown field"
	case err.Err != nil:
		return err.Err.Error()
	default:
		return fmt.Sprintf("a JSON %v does not fit here", err.JSONKind)
	}
}

// positionAt relies on comments being blanked in place, so that an offset in
// the standardized text has the same line in the original.
func positionAt(data []byte, offset int64, pointer jsontext.Pointer) Position {
	end := min(max(int(offset), 0), len(data))
	return Position{
		Line:  1 + bytes.Count(data[:end], []byte("\n")),
		Field: string(pointer),
	}
}

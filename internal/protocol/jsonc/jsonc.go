// Package jsonc decodes JSON with comments strictly: unknown fields, duplicate
// fields and values of the wrong type are errors that name the line and the field.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Position is the position of an error in a document.
type Position struct {
	Line  int    // starting at 1, 0 if unknown
	Field string // JSON pointer, empty if unknown
}

// Error describes an invalid document.
type Error struct {
	Position Position
	Reason   string
}

// Error returns the position and the reason in one line.
func (err *Error) Error() string {
	if err.Position.Field == "" {
		return fmt.Sprintf("line %d: %s", err.Position.Line, err.Reason)
	}
	return fmt.Sprintf("line %d, field %s: %s", err.Position.Line, err.Position.Field, err.Reason)
}

// Decode decodes data into the value that dst points to. Fields that are missing
// from data keep their values, so dst may hold defaults. Errors are of type *Error.
func Decode(data []byte, dst any) error {
	standardized, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{Reason: err.Error()}
	}
	err = json.Unmarshal(standardized, dst, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	var semanticError *json.SemanticError
	if errors.As(err, &semanticError) {
		return &Error{
			Position: positionAtOffset(standardized, semanticError.ByteOffset, semanticError.JSONPointer),
			Reason:   semanticReason(semanticError),
		}
	}
	var syntacticError *jsontext.SyntacticError
	if errors.As(err, &syntacticError) {
		return &Error{
			Position: positionAtOffset(standardized, syntacticError.ByteOffset, syntacticError.JSONPointer),
			Reason:   syntacticError.Err.Error(),
		}
	}
	return &Error{Reason: err.Error()}
}

// Locate returns the position of the field at a JSON pointer, for errors found
// after decoding. The line is 0 if data cannot be parsed or has no such
// field.
func Locate(data []byte, pointer string) Position {
	value, err := hujson.Parse(data)
	if err != nil {
		return Position{Field: pointer}
	}
	found := value.Find(pointer)
	if found == nil {
		return Position{Field: pointer}
	}
	return positionAtOffset(data, int64(found.StartOffset), jsontext.Pointer(pointer))
}

func semanticReason(err *json.SemanticError) string {
	switch {
	case errors.Is(err.Err, json.ErrUnknownName):
		return "unknown field"
	case err.Err != nil:
		return err.Err.Error()
	default:
		return fmt.Sprintf("a JSON %v does not fit here", err.JSONKind)
	}
}

// positionAtOffset returns the position of a byte offset. An offset in the
// standardized text has the same line in the original, because hujson replaces
// comments by spaces and keeps line breaks.
func positionAtOffset(data []byte, offset int64, pointer jsontext.Pointer) Position {
	end := min(max(int(offset), 0), len(data))
	return Position{
		Line:  1 + bytes.Count(data[:end], []byte("\n")),
		Field: string(pointer),
	}
}

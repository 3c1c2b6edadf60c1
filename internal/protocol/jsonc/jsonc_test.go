package jsonc_test

import (
	"errors"
	"testing"

	"mangopier.example/mangopier/internal/protocol/jsonc"
)

type document struct {
	DataCenter string `json:"data-center"`
	Limit      int    `json:"limit"`
}

func TestDecodeErrorNamesLineAndField(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		field      string
	}{
		{"unknown field", "{\n // why\n \"data-center\": \"a\",\n \"limits\": 3\n}", 4, "/limits"},
		{"wrong type", "{\n \"limit\": \"x\"}", 2, "/limit"},
		{"duplicate field", "{\"limit\": 1,\n \"limit\": 2}", 2, "/limit"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got document
			err := jsonc.Decode([]byte(test.text), &got)
			var decodeError *jsonc.Error
			if !errors.As(err, &decodeError) {
				t.Fatalf("Decode() = %v, want a *jsonc.Error", err)
			}
			if decodeError.Position.Line != test.line || decodeError.Position.Field != test.field {
				t.Fatalf("Decode() = %v, want line %d, field %s", decodeError, test.line, test.field)
			}
		})
	}
}

func TestDecodeKeepsDefaultsOfMissingFields(t *testing.T) {
	got := document{Limit: 7}
	err := jsonc.Decode([]byte("{ /* c */ \"data-center\": \"kosice\", }"), &got)
	if err != nil || got != (document{"kosice", 7}) {
		t.Fatalf("Decode() = %+v, %v, want data-center kosice and limit 7", got, err)
	}
	position := jsonc.Locate([]byte("{\n\n\"limit\": 3}"), "/limit")
	if position.Line != 3 {
		t.Fatalf("Locate() = %+v, want line 3", position)
	}
}

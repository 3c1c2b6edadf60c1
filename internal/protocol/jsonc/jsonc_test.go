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

func TestDecodeNamesLineAndField(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		field      string
	}{
		{"unknown", "{\n // why\n \"data-center\": \"a\",\n \"limits\": 3\n}", 4, "/limits"},
		{"type", "{\n \"limit\": \"x\"}", 2, "/limit"},
		{"repeated", "{\"limit\": 1,\n \"limit\": 2}", 2, "/limit"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got document
			err := jsonc.Decode([]byte(test.text), &got)
			var fault *jsonc.Error
			if !errors.As(err, &fault) {
				t.Fatalf("got %v", err)
			}
			if fault.Position.Line != test.line || fault.Position.Field != test.field {
				t.Fatalf("got %v", fault)
			}
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	got := document{Limit: 7}
	err := jsonc.Decode([]byte("{ /* c */ \"data-center\": \"kosice\", }"), &got)
	if err != nil || got != (document{"kosice", 7}) {
		t.Fatalf("got %+v, %v", got, err)
	}
	at := jsonc.Locate([]byte("{\n\n\"limit\": 3}"), "/limit")
	if at.Line != 3 {
		t.Fatalf("located %+v", at)
	}
}

package compat_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mangopier.example/mangopier/internal/protocol/compat"
)

// Guards against a comparison that no change can trip, or that trips on added fields.
func TestChangedFields(t *testing.T) {
	type inner map[int]any
	before := inner{1: "a", 2: []any{inner{1: 5, 2: true}}, 3: 1.5}
	tests := map[string]struct {
		after inner
		want  []string
	}{
		"same":           {inner{1: "a", 2: []any{inner{1: 5, 2: true}}, 3: 1.5}, nil},
		"fields added":   {inner{1: "a", 2: []any{inner{1: 5, 2: true, 3: "x"}}, 3: 1.5, 4: 7}, nil},
		"field missing":  {inner{1: "a", 2: []any{inner{1: 5, 2: true}}}, []string{"/3"}},
		"nested missing": {inner{1: "a", 2: []any{inner{1: 5}}, 3: 1.5}, []string{"/2/0/2"}},
		"type changed":   {inner{1: 7, 2: []any{inner{1: 5, 2: true}}, 3: 1.5}, []string{"/1"}},
		"entry missing":  {inner{1: "a", 2: []any{}, 3: 1.5}, []string{"/2"}},
		"list replaced":  {inner{1: "a", 2: "none", 3: 1.5}, []string{"/2"}},
	}
	encode := func(message any) []byte {
		data, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, test := range tests {
		got, err := compat.ChangedFields(encode(before), encode(test.after))
		if err != nil || !slices.Equal(got, test.want) {
			t.Errorf("%s: ChangedFields() = %v, %v, want %v", name, got, err, test.want)
		}
	}
	if _, err := compat.ChangedFields([]byte{0xff}, encode(before)); err == nil {
		t.Error("ChangedFields() of bytes that are no message returns no error")
	}
}

func TestReadMessages(t *testing.T) {
	messages, err := compat.ReadMessages(strings.NewReader("# pinned\n\n33d957d heartbeat a0\n"))
	if err != nil || len(messages) != 1 || messages[0].Build != "33d957d" || messages[0].Name != "heartbeat" || len(messages[0].Data) != 1 {
		t.Errorf("ReadMessages() = %v, %v, want one heartbeat of 33d957d", messages, err)
	}
	for _, text := range []string{"33d957d heartbeat", "33d957d heartbeat xy"} {
		if _, err := compat.ReadMessages(strings.NewReader(text)); err == nil {
			t.Errorf("ReadMessages(%q) returns no error", text)
		}
	}
}

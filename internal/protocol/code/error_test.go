package code_test

import (
	"errors"
	"fmt"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
)

func TestErrorKeepsCodeAndCause(t *testing.T) {
	cause := errors.New("refused")
	err := fmt.Errorf("outer: %w", code.Errorf(code.StoreDown, "get row: %w", cause))
	if !code.Is(err, code.StoreDown) || !errors.Is(err, cause) {
		t.Fatalf("got code %v, cause kept %v", code.Of(err), errors.Is(err, cause))
	}
	wrapped := code.Wrap(err, code.NoTarget, "route")
	if !code.Is(wrapped, code.NoTarget) || code.RunOf(wrapped) != code.NotRun {
		t.Fatalf("got code %v, run %v", code.Of(wrapped), code.RunOf(wrapped))
	}
	if got := code.RunOf(code.WithRun(wrapped, code.RunUnknown)); got != code.RunUnknown {
		t.Fatalf("run overridden: got %v", got)
	}
}

func TestEntriesAreOrderedAndUnique(t *testing.T) {
	last, names := code.Code(0), map[string]bool{}
	for _, entry := range code.Entries() {
		if entry.Code <= last || names[entry.Name] {
			t.Errorf("entry %v out of order or repeated", entry)
		}
		last, names[entry.Name] = entry.Code, true
	}
}

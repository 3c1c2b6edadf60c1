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
		t.Fatalf("code = %v, want %v; wraps the cause = %v, want true", code.FromError(err), code.StoreDown, errors.Is(err, cause))
	}
	wrapped := code.Wrap(err, code.NoTarget, "route")
	if !code.Is(wrapped, code.NoTarget) || code.RunStatusFromError(wrapped) != code.NotRun {
		t.Fatalf("code = %v, run status = %v, want %v, %v", code.FromError(wrapped), code.RunStatusFromError(wrapped), code.NoTarget, code.NotRun)
	}
	if got := code.RunStatusFromError(code.WithRunStatus(wrapped, code.RunUnknown)); got != code.RunUnknown {
		t.Fatalf("overridden run status = %v, want %v", got, code.RunUnknown)
	}
}

func TestDefinitionsAreOrderedAndUnique(t *testing.T) {
	previous, names := code.Code(0), map[string]bool{}
	for _, definition := range code.Definitions() {
		if definition.Code <= previous || names[definition.Name] {
			t.Errorf("definition %v: code out of order or name repeated", definition)
		}
		previous, names[definition.Name] = definition.Code, true
	}
}

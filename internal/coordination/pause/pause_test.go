package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

func TestPauseLastsItsTimeOrTheContexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		if !pause.For(t.Context(), time.Minute) || time.Since(begun) != time.Minute {
			t.Errorf("a pause of a minute took %s", time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun = time.Now()
		if pause.For(ctx, time.Minute) || time.Since(begun) != time.Second {
			t.Errorf("a pause whose context ended after a second took %s", time.Since(begun))
		}
		if pause.For(ctx, 0) || !pause.For(t.Context(), -time.Second) {
			t.Error("a pause of no length tells whether its context is good")
		}
	})
}

package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
)

func TestForEndsAfterDelayOrWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		if !pause.For(t.Context(), time.Minute) || time.Since(startedAt) != time.Minute {
			t.Errorf("pause.For(ctx, 1m) returned false or took %s, want true after 1m", time.Since(startedAt))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		startedAt = time.Now()
		if pause.For(ctx, time.Minute) || time.Since(startedAt) != time.Second {
			t.Errorf("pause.For(ctx with a timeout of 1s, 1m) returned true or took %s, want false after 1s", time.Since(startedAt))
		}
		if pause.For(ctx, 0) || !pause.For(t.Context(), -time.Second) {
			t.Error("pause.For without a positive delay does not report whether the context has ended")
		}
	})
}

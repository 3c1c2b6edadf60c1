package tally

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/table"
)

// eraKey is the key of the row with the first window that may be reported in an era of
// the store.
const eraKey = "usage-era"

// eraRow is the value of the row.
type eraRow struct {
	Era         uint64 `json:"era"`
	FirstWindow int64  `json:"first-window"`
}

// firstWindowOfEra returns the first window that cannot have been reported in an earlier
// era of the store than that of the grant. A missing row of an earlier window does not
// tell that it was not reported, and a row that is there may hold other counts than those
// that were sent. It returns false if the lease is not held or the store does not answer.
//
// The first holder of an era stores the window, so that one that starts later does not
// leave out more.
func (reporter *Reporter) firstWindowOfEra(ctx context.Context, now time.Time, currentGrant func() (lease.Grant, bool)) (int64, bool) {
	if reporter.eraSeen == nil {
		return 0, true
	}
	grant, held := currentGrant()
	if !held {
		return 0, false
	}
	if reporter.storedEra != nil && reporter.storedEra.Era == grant.Era {
		return reporter.storedEra.FirstWindow, true
	}
	era, seenAt := reporter.eraSeen()
	if era != grant.Era {
		return 0, false
	}
	first := eraRow{Era: era, FirstWindow: reporter.meter.WindowAt(now.Add(-time.Since(seenAt)))}
	if err := reporter.persistFirstWindow(ctx, grant, &first); err != nil {
		reporter.logger.Warn().Err(err).Uint64("era", era).Msg("first usage window of the store's era not stored")
		return 0, false
	}
	if _, held := currentGrant(); !held {
		return 0, false
	}
	reporter.storedEra = &first
	reporter.logger.Info().Uint64("era", era).Int64("first-window", first.FirstWindow).Msg("usage windows of before the store's era are left out")
	return first.FirstWindow, true
}

// persistFirstWindow stores the first window of an era, or lowers it to the one that an
// earlier holder of that era has stored.
func (reporter *Reporter) persistFirstWindow(ctx context.Context, grant lease.Grant, first *eraRow) error {
	row, err := reporter.store.Get(ctx, eraKey)
	if err != nil && !code.Is(err, code.RowMissing) {
		return err
	}
	var stored eraRow
	if err == nil && json.Unmarshal(row.Value, &stored) == nil && stored.Era == first.Era && stored.FirstWindow <= first.FirstWindow {
		first.FirstWindow = stored.FirstWindow
		return nil
	}
	value, err := json.Marshal(first, json.Deterministic(true))
	if err != nil {
		return code.Wrap(err, code.Internal, "row of the first usage window")
	}
	return reporter.store.Commit(ctx, grant.Condition(), table.Write{Key: eraKey, ExpectedVersion: row.Version, Value: value})
}

package once

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
)

// applyJob stores the body and the record of a job. It also returns nil if
// the job may no longer write the row.
func (deduplicator *Deduplicator) applyJob(ctx context.Context, job *job) error {
	if err := deduplicator.putBody(ctx, job); err != nil {
		return err
	}
	version, writable, err := deduplicator.writableVersion(ctx, job)
	if err != nil || !writable {
		return err
	}
	write, err := job.record.newWrite(job.key, version)
	if err != nil {
		return err
	}
	return deduplicator.store.Commit(ctx, write)
}

// writableVersion returns the current version of the row of a job, and whether
// the job may write it. A release also writes a row that does not exist or that
// another ticket released. This changes the row version, so that a delayed claim
// write fails; otherwise it could take effect after the release and block the
// key.
func (deduplicator *Deduplicator) writableVersion(ctx context.Context, job *job) (uint64, bool, error) {
	row, err := deduplicator.store.Get(ctx, job.key)
	if code.Is(err, code.RowMissing) {
		return 0, true, nil
	}
	if err != nil {
		return 0, false, err
	}
	found, err := decode(row)
	if err != nil {
		deduplicator.logger().Error().Err(err).Msg("idempotency row is malformed; dropping its outcome or release")
		return 0, false, nil
	}
	if found.Nonce == job.record.Nonce {
		return row.Version, found.State == stateClaimed, nil
	}
	return row.Version, found.State == stateReleased && job.record.State == stateReleased, nil
}

func (deduplicator *Deduplicator) putBody(ctx context.Context, job *job) error {
	if job.body == nil {
		return nil
	}
	return deduplicator.settings.objectStore.Put(ctx, job.record.Object, job.body)
}

// loadOutcome returns the outcome of a row with its body, which it reads from the
// object store if needed. Errors have code.StoreUnavailable and code.Ran.
func (deduplicator *Deduplicator) loadOutcome(ctx context.Context, found record) (*Outcome, error) {
	outcome := *found.Outcome
	if found.Object == "" {
		return &outcome, nil
	}
	if deduplicator.settings.objectStore == nil {
		outcome.BodyOmitted = true
		return &outcome, nil
	}
	body, err := deduplicator.settings.objectStore.Fetch(ctx, found.Object)
	if err != nil {
		err = code.Wrap(err, code.StoreUnavailable, "the stored answer cannot be read")
		return nil, code.WithRunStatus(err, code.Ran)
	}
	outcome.Body = body
	return &outcome, nil
}

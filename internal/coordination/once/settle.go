package once

import (
	"context"

	"mangopier.example/mangopier/internal/protocol/code"
)

// settle brings the row of a job into the state that the job asks for. It
// returns nil when there is nothing left to do.
func (guard *Guard) settle(ctx context.Context, job *job) error {
	if err := guard.putBody(ctx, job); err != nil {
		return err
	}
	version, ours, err := guard.owned(ctx, job)
	if err != nil || !ours {
		return err
	}
	write, err := job.record.write(job.key, version)
	if err != nil {
		return err
	}
	return guard.store.Commit(ctx, write)
}

// owned returns the version of the row of a job, if it is for the job to write.
// A release also writes a row that does not exist, and one that another ticket
// released: a claim write that is still on its way would otherwise take effect
// after the release, and make the key unusable.
func (guard *Guard) owned(ctx context.Context, job *job) (uint64, bool, error) {
	row, err := guard.store.Get(ctx, job.key)
	if code.Is(err, code.RowMissing) {
		return 0, true, nil
	}
	if err != nil {
		return 0, false, err
	}
	found, err := decode(row)
	if err != nil {
		guard.logger().Error().Err(err).Msg("row is malformed")
		return 0, false, nil
	}
	if found.Nonce == job.record.Nonce {
		return row.Version, found.State == claimed, nil
	}
	return row.Version, found.State == released && job.record.State == released, nil
}

func (guard *Guard) putBody(ctx context.Context, job *job) error {
	if job.body == nil {
		return nil
	}
	return guard.settings.objects.Put(ctx, job.record.Object, job.body)
}

// load returns the outcome of a row, with its body.
func (guard *Guard) load(ctx context.Context, found record) (*Outcome, error) {
	outcome := *found.Outcome
	if found.Object == "" {
		return &outcome, nil
	}
	if guard.settings.objects == nil {
		outcome.BodyOmitted = true
		return &outcome, nil
	}
	body, err := guard.settings.objects.Fetch(ctx, found.Object)
	if err != nil {
		err = code.Wrap(err, code.StoreUnavailable, "the stored answer cannot be read")
		return nil, code.WithRun(err, code.Ran)
	}
	outcome.Body = body
	return &outcome, nil
}

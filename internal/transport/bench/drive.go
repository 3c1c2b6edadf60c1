package bench

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

// defaultMaxInFlight limits the requests in flight of a workload that sets no
// limit.
const defaultMaxInFlight = 512

func (workload Workload) maxInFlight() int {
	if workload.MaxInFlight > 0 {
		return workload.MaxInFlight
	}
	return defaultMaxInFlight
}

// RunWorkload sends a workload to an endpoint and injects faults at their
// times. It returns when all requests have ended. Errors have
// code.CommandInvalid.
func RunWorkload(ctx context.Context, endpoint Endpoint, workload Workload, faults []Fault, seed uint64) (*Report, error) {
	if err := validate(endpoint, workload, faults); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	injected := injectFaults(ctx, endpoint, faults)
	report := sendArrivals(ctx, endpoint, workload, seed)
	cancel()
	if err := <-injected; err != nil {
		return nil, err
	}
	return report, nil
}

func validate(endpoint Endpoint, workload Workload, faults []Fault) error {
	if len(endpoint.EntryURLs) == 0 {
		return code.Errorf(code.CommandInvalid, "endpoint has no entry instances")
	}
	for _, team := range workload.Teams {
		if endpoint.APIKeys[team.Team] == "" {
			return code.Errorf(code.CommandInvalid, "endpoint has no API key for team %q", team.Team)
		}
	}
	if len(faults) > 0 && endpoint.InjectFault == nil {
		return code.Errorf(code.CommandInvalid, "endpoint does not support fault injection")
	}
	return nil
}

// sendArrivals sends each request at its time and collects the outcomes.
func sendArrivals(ctx context.Context, endpoint Endpoint, workload Workload, seed uint64) *Report {
	client := newClient(endpoint, workload)
	defer client.close()
	report := newReport(workload)
	outcomes := make(chan outcome, workload.maxInFlight())
	inFlight := 0
	started := time.Now()
	for arrival := range Arrivals(workload, seed) {
		inFlight -= report.collectFor(ctx, outcomes, time.Until(started.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		if inFlight >= workload.maxInFlight() {
			report.addUnsent(arrival)
			continue
		}
		inFlight++
		go func() { outcomes <- client.send(ctx, arrival) }()
	}
	for ; inFlight > 0; inFlight-- {
		report.addOutcome(<-outcomes)
	}
	return report
}

// collectFor adds the outcomes that arrive within a time and returns their
// number.
func (report *Report) collectFor(ctx context.Context, outcomes <-chan outcome, wait time.Duration) int {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for count := 0; ; count++ {
		select {
		case outcome := <-outcomes:
			report.addOutcome(outcome)
		case <-timer.C:
			return count
		case <-ctx.Done():
			return count
		}
	}
}

// injectFaults injects faults at their times in the background. The returned
// channel delivers the first error, or nil at the end.
func injectFaults(ctx context.Context, endpoint Endpoint, faults []Fault) <-chan error {
	done := make(chan error, 1)
	go func() {
		started := time.Now()
		for _, fault := range faults {
			if !pause.For(ctx, time.Until(started.Add(fault.At))) {
				break
			}
			if err := endpoint.InjectFault(ctx, fault); err != nil && ctx.Err() == nil {
				done <- code.Wrap(err, code.CommandInvalid, "inject fault "+string(fault.Kind))
				return
			}
		}
		done <- nil
	}()
	return done
}

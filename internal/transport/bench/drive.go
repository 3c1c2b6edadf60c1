package bench

import (
	"context"
	"time"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/code"
)

// defaultInFlight bounds the requests in flight of a workload without a bound.
const defaultInFlight = 512

func (workload Workload) inFlightMost() int {
	if workload.MaxInFlight > 0 {
		return workload.MaxInFlight
	}
	return defaultInFlight
}

// Drive sends a workload to an endpoint and injects faults at their times. It
// returns when all requests have ended.
func Drive(ctx context.Context, endpoint Endpoint, workload Workload, faults []Fault, seed uint64) (*Report, error) {
	if err := check(endpoint, workload, faults); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	injected := inject(ctx, endpoint, faults)
	report := send(ctx, endpoint, workload, seed)
	cancel()
	if err := <-injected; err != nil {
		return nil, err
	}
	return report, nil
}

func check(endpoint Endpoint, workload Workload, faults []Fault) error {
	if len(endpoint.Entries) == 0 {
		return code.Errorf(code.CommandInvalid, "endpoint has no entries")
	}
	for _, team := range workload.Teams {
		if endpoint.Keys[team.Team] == "" {
			return code.Errorf(code.CommandInvalid, "endpoint has no key for team %q", team.Team)
		}
	}
	if len(faults) > 0 && endpoint.Inject == nil {
		return code.Errorf(code.CommandInvalid, "endpoint takes no faults")
	}
	return nil
}

// send starts each request at its time and collects the outcomes.
func send(ctx context.Context, endpoint Endpoint, workload Workload, seed uint64) *Report {
	caller := newCaller(endpoint, workload)
	defer caller.close()
	report := newReport(workload)
	outcomes := make(chan outcome, workload.inFlightMost())
	inFlight := 0
	started := time.Now()
	for arrival := range Arrivals(workload, seed) {
		inFlight -= report.collectUntil(ctx, outcomes, time.Until(started.Add(arrival.At)))
		if ctx.Err() != nil {
			break
		}
		if inFlight >= workload.inFlightMost() {
			report.unsent(arrival)
			continue
		}
		inFlight++
		go func() { outcomes <- caller.call(ctx, arrival) }()
	}
	for ; inFlight > 0; inFlight-- {
		report.add(<-outcomes)
	}
	return report
}

// collectUntil adds the outcomes that arrive within a time, and returns how
// many they are.
func (report *Report) collectUntil(ctx context.Context, outcomes <-chan outcome, wait time.Duration) int {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for count := 0; ; count++ {
		select {
		case outcome := <-outcomes:
			report.add(outcome)
		case <-timer.C:
			return count
		case <-ctx.Done():
			return count
		}
	}
}

// inject carries out faults at their times, and reports its end on the
// channel that it returns.
func inject(ctx context.Context, endpoint Endpoint, faults []Fault) <-chan error {
	done := make(chan error, 1)
	go func() {
		started := time.Now()
		for _, fault := range faults {
			if !pause.For(ctx, time.Until(started.Add(fault.At))) {
				break
			}
			if err := endpoint.Inject(ctx, fault); err != nil && ctx.Err() == nil {
				done <- code.Wrap(err, code.CommandInvalid, "inject "+string(fault.Kind))
				return
			}
		}
		done <- nil
	}()
	return done
}

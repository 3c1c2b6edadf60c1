package oracle_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/usage"
)

// TestReportsUsageOfKilledInstance guards against lost usage when an instance is
// killed right after it delivered a response. The replica at its peer has the
// counts, so they are reported whether or not the window is marked incomplete.
func TestReportsUsageOfKilledInstance(t *testing.T) {
	for n := range instanceCount {
		synctest.Test(t, func(t *testing.T) {
			simulator := newSimulator(t, uint64(n)+1)
			defer simulator.stop()
			simulator.setUp()
			instance := simulator.pickInstance(n)
			instance.recordUsage("press", 7)
			instance.kill()
			time.Sleep(time.Minute)
			if got := simulator.reportedTokens("press"); got != 7 {
				t.Errorf("reportedTokens() = %d after instance %d was killed, want 7", got, n)
			}
		})
	}
}

// reportedTokens returns the sum of a team's generated tokens in all reports.
func (simulator *simulator) reportedTokens(team string) (tokens int64) {
	simulator.mu.Lock()
	defer simulator.mu.Unlock()
	for _, body := range simulator.reports {
		var reportBody usage.ReportBody
		if err := json.Unmarshal(body, &reportBody); err != nil {
			simulator.recordViolation("usage report is not valid JSON", "%v", err)
		}
		for _, correction := range reportBody.Corrections {
			reportBody.Lines = append(reportBody.Lines, correction.Line)
		}
		for _, line := range reportBody.Lines {
			if line.Team == team {
				tokens += line.GeneratedTokens
			}
		}
	}
	return tokens
}

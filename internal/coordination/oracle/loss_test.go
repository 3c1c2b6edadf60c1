package oracle_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/usage"
)

// TestUsageSurvivesOneInstance kills an instance right after it delivered an
// answer. The copy at its peer holds the figures, whether or not the window is
// marked incomplete.
func TestUsageSurvivesOneInstance(t *testing.T) {
	for n := range instances {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld(t, uint64(n)+1)
			defer world.stop()
			world.setUp()
			life := world.pick(n)
			life.record("press", 7)
			life.kill()
			time.Sleep(time.Minute)
			if got := world.reported("press"); got != 7 {
				t.Errorf("%d tokens are reported after the end of instance %d, want 7", got, n)
			}
		})
	}
}

// reported returns the tokens of a team in all reports.
func (world *world) reported(team string) (tokens int64) {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, body := range world.reports {
		var content usage.ReportBody
		if err := json.Unmarshal(body, &content); err != nil {
			world.fail("usage report", "%v", err)
		}
		for _, correction := range content.Corrections {
			content.Lines = append(content.Lines, correction.Line)
		}
		for _, line := range content.Lines {
			if line.Team == team {
				tokens += line.GeneratedTokens
			}
		}
	}
	return tokens
}

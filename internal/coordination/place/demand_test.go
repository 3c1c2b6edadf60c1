package place_test

import (
	"testing"

	"mangopier.example/mangopier/internal/protocol/site"
)

// Long outputs fill slots, large prompts fill memory.
func TestDecodeDemandCountsSlotsAndMemory(t *testing.T) {
	scheduler := newScheduler(newEngine("d1", "tas-a", site.Decode), newEngine("d2", "tas-a", site.Decode))
	for range 64 {
		_, _ = scheduler.AssignDecode("llm", newPrompt("short", 100), "tas-a", nil)
	}
	if got := scheduler.DecodeDemand(services["llm"]); got != 1 {
		t.Errorf("DecodeDemand() of 64 requests on engines of 64 slots = %v, want 1", got)
	}
	for range 35 {
		_, _ = scheduler.AssignDecode("llm", newPrompt("long", 19_900), "tas-a", nil)
	}
	if got := scheduler.DecodeDemand(services["llm"]); got < 1.7 || got > 1.9 {
		t.Errorf("DecodeDemand() with 35 prompts of 20,000 tokens = %v, want 1.7 to 1.9", got)
	}
	if got := scheduler.DecodeDemand(services["desk"]); got != 0 {
		t.Errorf("DecodeDemand() of a plain service = %v, want 0", got)
	}
}

// Requests with long outputs pile up at two full engines, for as long as no
// others are there. The demand must not ask for as many engines as the pile
// would fill, which would take them all from prefill.
func TestDecodeDemandOfWaitingRequestsIsBounded(t *testing.T) {
	scheduler := newScheduler(newEngine("d1", "tas-a", site.Decode), newEngine("d2", "tas-a", site.Decode))
	for range 1_000 {
		_, _ = scheduler.AssignDecode("llm", newPrompt("short", 100), "tas-a", nil)
	}
	if got := scheduler.DecodeDemand(services["llm"]); got < 2 || got > 2.5 {
		t.Errorf("DecodeDemand() of 1,000 requests at 2 engines of 64 slots = %v, want 2 to 2.5", got)
	}
}

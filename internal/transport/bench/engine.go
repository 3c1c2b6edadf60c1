package bench

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Service times of a simulated engine. A decode step generates one token for
// each sequence of the batch and takes a base time plus a time per sequence.
// Prompts are prefilled in chunks at a fixed rate. A mixed engine adds to each
// decode step a prefill chunk of at least minChunkTokens, as large as
// mixedStepTime allows. mixedStepTime stays below maxMeanTokenGap.
const (
	stepBaseTime        = 15 * time.Millisecond
	stepTimePerSequence = 600 * time.Microsecond
	enginePrefillTPS    = 8000.0
	decodeSlots         = 64
	mixedSlots          = 40
	mixedStepTime       = 50 * time.Millisecond
	engineDecodeTPS     = 1198.0 // decodeSlots / duration of a full decode step
	maxChunkTokens      = 2048
	minChunkTokens      = 32
	transferBaseTime    = 10 * time.Millisecond
	minTransferGain     = 8     // smallest difference in sequences that justifies a KV transfer
	transferTPS         = 100e3 // prompt tokens per second whose KV cache is transferred
)

// Latency limits of a response that counts as good.
const (
	maxTTFT         = 890 * time.Millisecond
	maxMeanTokenGap = 57 * time.Millisecond
)

type simulatedRequest struct {
	promptTokens     int
	outputTokens     int
	remainingPrefill int // tokens
	remainingOutput  int // tokens
	arrivedAt        time.Duration
	firstTokenAt     time.Duration
}

type simulatedEngine struct {
	id           string
	role         note.Role
	unavailable  bool // changing its role or lost
	lost         bool
	stepping     bool
	prefillQueue []*simulatedRequest // waiting for prefill
	batch        []*simulatedRequest // decoding
	decodeQueue  []*simulatedRequest // waiting for a slot of the batch
}

func (engine *simulatedEngine) accepts(phase note.Role) bool {
	return !engine.unavailable && (engine.role == phase || engine.role == note.RoleMixed)
}

// prefillWait returns how long a new prompt waits until its prefill starts.
func (engine *simulatedEngine) prefillWait(mixedOverhead float64) time.Duration {
	tokens := 0
	for _, request := range engine.prefillQueue {
		tokens += request.remainingPrefill
	}
	seconds := float64(tokens) / enginePrefillTPS
	if share := engine.prefillShare(); len(engine.batch) > 0 && engine.role == note.RoleMixed {
		seconds *= mixedOverhead / share
	}
	return time.Duration(seconds * float64(time.Second))
}

// prefillShare returns the share of a mixed step that is left for prefill.
func (engine *simulatedEngine) prefillShare() float64 {
	return max(1-float64(engine.decodeStepTime())/float64(mixedStepTime), 0.05)
}

func (engine *simulatedEngine) decodeStepTime() time.Duration {
	return stepBaseTime + time.Duration(len(engine.batch))*stepTimePerSequence
}

func (engine *simulatedEngine) sequenceCount() int {
	return len(engine.batch) + len(engine.decodeQueue)
}

// planStep fills the batch and returns the prefill tokens and the duration of
// the next step. The duration is 0 for an idle engine.
func (engine *simulatedEngine) planStep(mixedOverhead float64) (tokens int, duration time.Duration) {
	free := engine.maxBatch() - len(engine.batch)
	admitted := min(free, len(engine.decodeQueue))
	engine.batch = append(engine.batch, engine.decodeQueue[:admitted]...)
	engine.decodeQueue = engine.decodeQueue[admitted:]
	if len(engine.batch) > 0 {
		duration = engine.decodeStepTime()
	}
	if len(engine.prefillQueue) == 0 {
		return 0, duration
	}
	tokens = maxChunkTokens
	cost := float64(time.Second) / enginePrefillTPS
	if len(engine.batch) > 0 {
		cost *= mixedOverhead
		tokens = max(int(float64(mixedStepTime-duration)/cost), minChunkTokens)
	}
	tokens = min(tokens, engine.prefillQueue[0].remainingPrefill)
	return tokens, duration + time.Duration(float64(tokens)*cost)
}

// maxBatch returns the maximum batch size. A mixed engine has fewer slots, so
// that a prefill chunk still fits into each step.
func (engine *simulatedEngine) maxBatch() int {
	if engine.role == note.RoleMixed {
		return mixedSlots
	}
	return decodeSlots
}

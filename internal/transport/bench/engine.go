package bench

import (
	"time"

	"mangopier.example/mangopier/internal/protocol/note"
)

// Service model of a modelled engine: a step gives each sequence of the batch
// one token and takes a base time and a time per sequence; a prompt is
// processed in chunks at a fixed rate. A mixed engine puts a chunk into each
// step, as large as the limit between tokens leaves room for.
const (
	stepBase          = 15 * time.Millisecond
	stepPerSequence   = 600 * time.Microsecond
	enginePrefillTPS  = 8000.0
	engineSlots       = 64
	mixedSlots        = 40
	mixedStep         = 50 * time.Millisecond
	engineDecodeTPS   = 1198.0 // engineSlots over the time of a full step
	chunkTokens       = 2048
	chunkTokensLeast  = 32
	transferBase      = 10 * time.Millisecond
	transferSequences = 8     // difference below which a call stays where it is
	transferTPS       = 100e3 // prompt tokens whose KV cache moves in a second
)

// Limits within which an answer counts.
const (
	firstTokenLimit   = 890 * time.Millisecond
	betweenTokenLimit = 57 * time.Millisecond
)

// modelCall is a request in a model.
type modelCall struct {
	prompt      int
	output      int
	prefillLeft int
	tokensLeft  int
	arrived     time.Duration
	first       time.Duration
}

// modelEngine is an engine in a model.
type modelEngine struct {
	id       string
	role     note.Role
	gone     bool // changing or lost
	lost     bool
	stepping bool
	prefills []*modelCall // prompts to process
	active   []*modelCall // batch
	waiting  []*modelCall // for a slot of the batch
}

func (engine *modelEngine) takes(phase note.Role) bool {
	return !engine.gone && (engine.role == phase || engine.role == note.RoleMixed)
}

// prefillWait returns how long a new prompt waits for its turn.
func (engine *modelEngine) prefillWait(overhead float64) time.Duration {
	tokens := 0
	for _, call := range engine.prefills {
		tokens += call.prefillLeft
	}
	seconds := float64(tokens) / enginePrefillTPS
	if share := engine.chunkShare(); len(engine.active) > 0 && engine.role == note.RoleMixed {
		seconds *= overhead / share
	}
	return time.Duration(seconds * float64(time.Second))
}

// chunkShare returns the part of a full step that is left for a prompt.
func (engine *modelEngine) chunkShare() float64 {
	return max(1-float64(engine.stepTime())/float64(mixedStep), 0.05)
}

func (engine *modelEngine) stepTime() time.Duration {
	return stepBase + time.Duration(len(engine.active))*stepPerSequence
}

func (engine *modelEngine) sequences() int { return len(engine.active) + len(engine.waiting) }

// plan returns the prompt tokens and the time of the next step, or no time
// for an idle engine.
func (engine *modelEngine) plan(overhead float64) (tokens int, length time.Duration) {
	free := engine.slots() - len(engine.active)
	admitted := min(free, len(engine.waiting))
	engine.active = append(engine.active, engine.waiting[:admitted]...)
	engine.waiting = engine.waiting[admitted:]
	if len(engine.active) > 0 {
		length = engine.stepTime()
	}
	if len(engine.prefills) == 0 {
		return 0, length
	}
	tokens = chunkTokens
	cost := float64(time.Second) / enginePrefillTPS
	if len(engine.active) > 0 {
		cost *= overhead
		tokens = max(int(float64(mixedStep-length)/cost), chunkTokensLeast)
	}
	tokens = min(tokens, engine.prefills[0].prefillLeft)
	return tokens, length + time.Duration(float64(tokens)*cost)
}

// slots returns the largest batch that leaves room for prompts where the
// engine takes them.
func (engine *modelEngine) slots() int {
	if engine.role == note.RoleMixed {
		return mixedSlots
	}
	return engineSlots
}

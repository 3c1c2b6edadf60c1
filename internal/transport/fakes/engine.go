package fakes

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/note"
)

// EngineConfig is the performance model of a fake engine: prompts are prefilled
// one after another at PrefillTPS, running requests share DecodeTPS, and an
// engine of the mixed role decodes at half the rate while it prefills a prompt.
type EngineConfig struct {
	ID                  string
	Models              []engine.LoadedModel
	Role                note.Role
	PrefillTPS          float64       // prompt tokens per second; 0 for no delay
	DecodeTPS           float64       // generated tokens per second, over all running requests; 0 for no delay
	Slots               int           // maximum of requests that run at once
	CacheBlocks         int           // capacity of the prefix cache, in prompt blocks
	LoadReportAge       time.Duration // age of the load reports that are served
	OrderDuration       time.Duration // time that a role change or the loading of a model or adapter takes
	RestartDuration     time.Duration // time for which the engine is down after a crash
	IgnoresFencingToken bool          // accepts orders with any fencing token
	DropEveryNthEvent   int           // every n-th cache event is dropped; 0 for none
}

// CrashMarker crashes the engine that runs a request with this text in a message.
const CrashMarker = "crash-this-engine"

// Engine is a fake model engine with the chat completions and control interfaces.
type Engine struct {
	config EngineConfig
	cache  *cache
	slots  *slots

	mu                   sync.Mutex
	role                 note.Role
	models               []engine.LoadedModel
	adapters             []engine.LoadedModel
	maxFencingToken      uint64
	lastOrderNumber      uint64
	acceptedOrders       []engine.Order
	orderInProgress      bool
	draining             bool
	stopped              bool
	downUntil            time.Time
	prefillIdleAt        time.Time
	pendingPrefillTokens int
	pendingDecodeTokens  int
	totalPrefillTokens   int64
	totalDecodeTokens    int64
	incarnation          int
	kvHandles            map[string]struct{}
	loadReports          []engine.LoadReport
	reportSequence       uint64
	cancelByAttempt      map[string]context.CancelFunc
	crashCtx             context.Context
	cancelCrashCtx       context.CancelFunc

	stalled       atomic.Bool
	completedRuns atomic.Int64
	crashCount    atomic.Int64
}

// NewEngine returns a running engine.
func NewEngine(config EngineConfig) *Engine {
	crashCtx, cancelCrashCtx := context.WithCancel(context.Background())
	return &Engine{
		config:          config,
		cache:           newCache(config.CacheBlocks, config.DropEveryNthEvent),
		slots:           newSlots(max(1, config.Slots)),
		role:            config.Role,
		models:          config.Models,
		kvHandles:       map[string]struct{}{},
		cancelByAttempt: map[string]context.CancelFunc{},
		crashCtx:        crashCtx,
		cancelCrashCtx:  cancelCrashCtx,
	}
}

// Handler returns the HTTP handler of the engine. While the engine is down, it
// closes every connection without a response.
func (fake *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", fake.serveChat)
	mux.HandleFunc("GET "+engine.PathLoad, fake.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, fake.serveCacheEvents)
	mux.HandleFunc("POST "+engine.PathOrders, fake.serveOrder)
	mux.HandleFunc("POST "+engine.PathCancel, fake.serveCancel)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fake.down() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// Crash aborts all running requests and takes the engine down for its restart
// duration. The prefix cache, KV handles, load reports, the drain state and the
// order in progress are lost; the role, the loaded models and the fencing token
// survive.
func (fake *Engine) Crash() {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.crashCount.Add(1)
	fake.downUntil = time.Now().Add(fake.config.RestartDuration)
	fake.incarnation++
	fake.orderInProgress, fake.draining = false, false
	fake.pendingPrefillTokens, fake.pendingDecodeTokens = 0, 0
	fake.prefillIdleAt = time.Time{}
	fake.kvHandles = map[string]struct{}{}
	fake.loadReports = nil
	fake.cache.clear()
	fake.cancelCrashCtx()
	fake.crashCtx, fake.cancelCrashCtx = context.WithCancel(context.Background())
}

// SetDown crashes the engine and keeps it down, or brings it back at once.
func (fake *Engine) SetDown(down bool) {
	if down {
		fake.Crash()
	}
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.stopped = down
	if !down {
		fake.downUntil = time.Time{}
	}
}

// SetStalled makes running responses stop sending without closing the connection.
// New connections are still accepted. A response that has stalled does not resume
// when stalled is set back to false.
func (fake *Engine) SetStalled(stalled bool) {
	fake.stalled.Store(stalled)
}

// CompletedRuns returns the number of responses that were generated to their end.
func (fake *Engine) CompletedRuns() int64 {
	return fake.completedRuns.Load()
}

// CrashCount returns the number of crashes, those by SetDown included.
func (fake *Engine) CrashCount() int64 {
	return fake.crashCount.Load()
}

// AcceptedOrders returns the orders that the engine began to execute, oldest
// first, without repeats.
func (fake *Engine) AcceptedOrders() []engine.Order {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return append([]engine.Order(nil), fake.acceptedOrders...)
}

func (fake *Engine) down() bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.stopped || time.Now().Before(fake.downUntil)
}

// reserve adds a request's prompt and output tokens to the pending work. It
// returns the time until its prefill ends, and whether the engine refuses the
// request.
func (fake *Engine) reserve(promptTokens, outputTokens int) (time.Duration, bool) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.orderInProgress || fake.draining {
		return 0, true
	}
	now := time.Now()
	if fake.prefillIdleAt.Before(now) {
		fake.prefillIdleAt = now
	}
	if fake.config.PrefillTPS > 0 {
		fake.prefillIdleAt = fake.prefillIdleAt.Add(seconds(float64(promptTokens) / fake.config.PrefillTPS))
	}
	fake.pendingPrefillTokens += promptTokens
	fake.pendingDecodeTokens += outputTokens
	fake.totalPrefillTokens += int64(promptTokens)
	fake.totalDecodeTokens += int64(outputTokens)
	return fake.prefillIdleAt.Sub(now), false
}

func (fake *Engine) release(promptTokens, outputTokens int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.pendingPrefillTokens = max(0, fake.pendingPrefillTokens-promptTokens)
	fake.pendingDecodeTokens = max(0, fake.pendingDecodeTokens-outputTokens)
}

// tokenInterval returns the time between two tokens of a response at the present
// load.
func (fake *Engine) tokenInterval() time.Duration {
	if fake.config.DecodeTPS <= 0 {
		return 0
	}
	interval := seconds(float64(max(1, fake.slots.running())) / fake.config.DecodeTPS)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.role == note.RoleMixed && fake.prefillIdleAt.After(time.Now()) {
		return 2 * interval
	}
	return interval
}

func (fake *Engine) hasModel(model string) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	for _, loaded := range fake.models {
		if loaded.Name == model {
			return true
		}
	}
	return false
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func outputTokenCount(request *chat.Request, hash uint64) int {
	if request.MaxTokens > 0 {
		return request.MaxTokens
	}
	return 8 + int(hash%24)
}

func responseID(hash uint64) string {
	return "chatcmpl-" + strconv.FormatUint(hash, 16)
}

// RunningRequests returns the number of requests that hold a slot.
func (fake *Engine) RunningRequests() int {
	return fake.slots.running()
}

// Serves reports whether the engine has the given version of a model loaded.
func (fake *Engine) Serves(model, version string) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return slices.Contains(fake.models, engine.LoadedModel{Name: model, Version: version})
}

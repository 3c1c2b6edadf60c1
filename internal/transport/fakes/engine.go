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

// EngineConfig is the service model of a stand-in engine: prompts are
// processed one after another at PrefillTPS, running answers share DecodeTPS,
// and a mixed engine decodes at half the rate while it processes a prompt.
type EngineConfig struct {
	ID           string
	Models       []engine.LoadedModel
	Role         note.Role
	PrefillTPS   float64       // prompt tokens per second
	DecodeTPS    float64       // generated tokens per second over the whole batch
	Slots        int           // answers that run at once
	CacheBlocks  int           // prompt blocks that the prefix cache holds
	LoadLag      time.Duration // age of load reports
	ChangeTime   time.Duration // time that a role change or a load takes
	RestartTime  time.Duration // time from a crash to the return
	IgnoresFence bool          // takes orders whatever their fencing number
	DropEvents   int           // every n-th cache event is lost, 0 for none
}

// CrashMark in a prompt makes the engine that runs it crash.
const CrashMark = "crash-this-engine"

// Engine is a stand-in for a model engine.
type Engine struct {
	config EngineConfig
	cache  *cache
	slots  *slots

	mu          sync.Mutex
	role        note.Role
	models      []engine.LoadedModel
	adapters    []engine.LoadedModel
	fence       uint64
	lastOrder   uint64
	orders      []engine.Order
	changing    bool
	draining    bool
	stopped     bool
	downUntil   time.Time
	prefillFree time.Time
	prefillLeft int
	decodeLeft  int
	prefillSum  int64
	decodeSum   int64
	incarnation int
	handles     map[string]struct{}
	reports     []engine.LoadReport
	sequence    uint64
	cancels     map[string]context.CancelFunc
	crash       context.Context
	crashAll    context.CancelFunc

	silent  atomic.Bool
	runs    atomic.Int64
	crashes atomic.Int64
}

// NewEngine returns an engine that is up.
func NewEngine(config EngineConfig) *Engine {
	crash, crashAll := context.WithCancel(context.Background())
	return &Engine{
		config:   config,
		cache:    newCache(config.CacheBlocks, config.DropEvents),
		slots:    newSlots(max(1, config.Slots)),
		role:     config.Role,
		models:   config.Models,
		handles:  map[string]struct{}{},
		cancels:  map[string]context.CancelFunc{},
		crash:    crash,
		crashAll: crashAll,
	}
}

// Handler returns the HTTP handler of the engine.
func (fake *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", fake.serveChat)
	mux.HandleFunc("GET "+engine.PathLoad, fake.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, fake.serveCache)
	mux.HandleFunc("POST "+engine.PathOrders, fake.serveOrder)
	mux.HandleFunc("POST "+engine.PathCancel, fake.serveCancel)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fake.down() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// Crash ends all answers and takes the engine down for its restart time.
func (fake *Engine) Crash() {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.crashes.Add(1)
	fake.downUntil = time.Now().Add(fake.config.RestartTime)
	fake.incarnation++
	fake.changing, fake.draining = false, false
	fake.prefillLeft, fake.decodeLeft = 0, 0
	fake.prefillFree = time.Time{}
	fake.handles = map[string]struct{}{}
	fake.reports = nil
	fake.cache.clear()
	fake.crashAll()
	fake.crash, fake.crashAll = context.WithCancel(context.Background())
}

// SetDown takes the engine down for good or brings it back.
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

// SetSilent makes answers that are under way stop sending for good; new
// connections work.
func (fake *Engine) SetSilent(silent bool) {
	fake.silent.Store(silent)
}

// Runs returns how many answers were run to their end.
func (fake *Engine) Runs() int64 {
	return fake.runs.Load()
}

// Crashes returns how often the engine crashed.
func (fake *Engine) Crashes() int64 {
	return fake.crashes.Load()
}

// Orders returns the orders that took effect, in their order.
func (fake *Engine) Orders() []engine.Order {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return append([]engine.Order(nil), fake.orders...)
}

func (fake *Engine) down() bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.stopped || time.Now().Before(fake.downUntil)
}

// reserve books the prompt and returns how long its processing takes from
// now, and whether the engine refuses it.
func (fake *Engine) reserve(prompt, output int) (time.Duration, bool) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.changing || fake.draining {
		return 0, true
	}
	now := time.Now()
	if fake.prefillFree.Before(now) {
		fake.prefillFree = now
	}
	if fake.config.PrefillTPS > 0 {
		fake.prefillFree = fake.prefillFree.Add(seconds(float64(prompt) / fake.config.PrefillTPS))
	}
	fake.prefillLeft += prompt
	fake.decodeLeft += output
	fake.prefillSum += int64(prompt)
	fake.decodeSum += int64(output)
	return fake.prefillFree.Sub(now), false
}

func (fake *Engine) settle(prompt, output int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.prefillLeft = max(0, fake.prefillLeft-prompt)
	fake.decodeLeft = max(0, fake.decodeLeft-output)
}

// tokenInterval is the time between two tokens of one answer now.
func (fake *Engine) tokenInterval() time.Duration {
	if fake.config.DecodeTPS <= 0 {
		return 0
	}
	interval := seconds(float64(max(1, fake.slots.running())) / fake.config.DecodeTPS)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if fake.role == note.RoleMixed && fake.prefillFree.After(time.Now()) {
		return 2 * interval
	}
	return interval
}

func (fake *Engine) serving(model string) bool {
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

func outputTokens(request *chat.Request, hash uint64) int {
	if request.MaxTokens > 0 {
		return request.MaxTokens
	}
	return 8 + int(hash%24)
}

func answerID(hash uint64) string {
	return "chatcmpl-" + strconv.FormatUint(hash, 16)
}

// Running returns how many answers run now.
func (fake *Engine) Running() int {
	return fake.slots.running()
}

// Serves reports whether the engine serves a version of a model.
func (fake *Engine) Serves(model, version string) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return slices.Contains(fake.models, engine.LoadedModel{Name: model, Version: version})
}

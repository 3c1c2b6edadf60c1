package fakes

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/engine"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/protocol/note"
)

// Words returns the tokens that a stand-in engine generates for a request
// body's model and messages. The same prompt gives the same tokens at every
// engine.
func Words(request *chat.Request, count int) []string {
	hash := promptHash(request)
	words := make([]string, count)
	for i := range words {
		words[i] = word(hash, i)
	}
	return words
}

// Count returns how many tokens a stand-in engine generates for a request.
func Count(request *chat.Request) int {
	return outputTokens(request, promptHash(request))
}

func word(hash uint64, index int) string {
	sum := xxhash.Sum64String(strconv.FormatUint(hash, 16) + ":" + strconv.Itoa(index))
	return "w" + strconv.FormatUint(sum%46656, 36) + " "
}

func promptHash(request *chat.Request) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Model)
	for _, message := range request.Messages {
		_, _ = digest.Write(message.Content)
	}
	return digest.Sum64()
}

// job is one call to the engine.
type job struct {
	request *chat.Request
	hash    uint64
	first   int // index of the first token to send
	total   int // tokens of the whole answer
	prompt  int // prompt tokens
	cached  int // of them from the prefix cache
}

func (fake *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	request := &chat.Request{}
	if err := json.UnmarshalRead(r.Body, request); err != nil {
		refuseNotRun(w, http.StatusBadRequest, "body cannot be read")
		return
	}
	if !fake.serving(request.Model) {
		refuseNotRun(w, http.StatusNotFound, "model is not loaded")
		return
	}
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	ctx, done := fake.register(r)
	defer done()
	fake.answer(ctx, w, r, newJob(request))
	if ctx.Err() != nil && r.Context().Err() == nil {
		panic(http.ErrAbortHandler)
	}
}

func newJob(request *chat.Request) *job {
	job := &job{request: request, hash: promptHash(request), prompt: request.EstimatePromptTokens()}
	job.total = outputTokens(request, job.hash)
	if request.Resume != nil {
		job.first = request.Resume.DeliveredTokens
	}
	return job
}

// register ties a call to the engine's crash and to its cancel call.
func (fake *Engine) register(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	attempt := r.Header.Get(engine.HeaderAttemptID)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	stop := context.AfterFunc(fake.crash, cancel)
	if attempt != "" {
		fake.cancels[attempt] = cancel
	}
	return ctx, func() {
		stop()
		cancel()
		fake.mu.Lock()
		defer fake.mu.Unlock()
		delete(fake.cancels, attempt)
	}
}

func (fake *Engine) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, job *job) {
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if !fake.slots.acquire(ctx, priority) {
		return
	}
	defer fake.slots.release()
	blocks := job.request.BlockHashes()
	if fake.imported(r) {
		job.cached = job.prompt
	} else {
		job.cached = min(job.prompt, fake.cache.match(blocks)*chat.TokensPerBlock)
	}
	fresh := job.prompt - job.cached
	delay, refused := fake.reserve(fresh, job.total-job.first)
	if refused {
		refuseNotRun(w, http.StatusServiceUnavailable, "engine is changing or draining")
		return
	}
	defer fake.settle(fresh, job.total-job.first)
	if !pause.For(ctx, delay) {
		return
	}
	if fake.crashesOn(job.request) {
		fake.Crash()
		return
	}
	fake.cache.add(blocks)
	switch {
	case r.Header.Get(engine.HeaderPhase) == string(note.RolePrefill):
		fake.export(w, job)
	case job.request.Stream:
		fake.stream(ctx, w, job)
	default:
		fake.whole(ctx, w, job)
	}
}

func (fake *Engine) crashesOn(request *chat.Request) bool {
	for _, message := range request.Messages {
		if strings.Contains(string(message.Content), CrashMark) {
			return true
		}
	}
	return false
}

// export keeps the KV cache of a prompt for a decode engine.
func (fake *Engine) export(w http.ResponseWriter, job *job) {
	handle := fake.config.ID + "/" + strconv.FormatUint(job.hash, 16)
	fake.mu.Lock()
	fake.handles[handle] = struct{}{}
	fake.mu.Unlock()
	w.Header().Set(engine.HeaderKVHandle, handle)
	w.WriteHeader(http.StatusNoContent)
}

// imported takes the word of the caller that the source still has the cache;
// the transfer itself is not part of the model.
func (fake *Engine) imported(r *http.Request) bool {
	return r.Header.Get(engine.HeaderKVSource) != ""
}

func (fake *Engine) whole(ctx context.Context, w http.ResponseWriter, job *job) {
	var text strings.Builder
	for index := job.first; index < job.total; index++ {
		if !pause.For(ctx, fake.tokenInterval()) || !fake.unlessSilent(ctx) {
			return
		}
		text.WriteString(word(job.hash, index))
	}
	fake.runs.Add(1)
	stop := "stop"
	reply := chat.Chunk{
		ID: answerID(job.hash), Object: "chat.completion", Created: time.Now().Unix(), Model: job.request.Model,
		Choices: []chat.Choice{{Message: &chat.ResponseText{Role: "assistant", Content: text.String()}, FinishReason: &stop}},
		Usage:   job.usage(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, &reply)
}

func (fake *Engine) stream(ctx context.Context, w http.ResponseWriter, job *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	for index := job.first; index < job.total; index++ {
		if !pause.For(ctx, fake.tokenInterval()) || !fake.unlessSilent(ctx) {
			return
		}
		text := &chat.ResponseText{Content: word(job.hash, index)}
		if index == 0 {
			text.Role = "assistant"
		}
		if sendEvent(w, job.chunk(chat.Choice{Delta: text})) != nil {
			return
		}
	}
	fake.runs.Add(1)
	stop := "stop"
	_ = sendEvent(w, job.chunk(chat.Choice{Delta: &chat.ResponseText{}, FinishReason: &stop}))
	if job.request.WantsUsage() {
		last := job.chunk()
		last.Choices, last.Usage = []chat.Choice{}, job.usage()
		_ = sendEvent(w, last)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (job *job) chunk(choices ...chat.Choice) *chat.Chunk {
	return &chat.Chunk{
		ID: answerID(job.hash), Object: "chat.completion.chunk", Created: time.Now().Unix(),
		Model: job.request.Model, Choices: choices,
	}
}

func (job *job) usage() *chat.Usage {
	return &chat.Usage{
		PromptTokens: job.prompt, CompletionTokens: job.total, TotalTokens: job.prompt + job.total,
		PromptTokensDetails: &chat.PromptTokensDetails{CachedTokens: job.cached},
	}
}

// unlessSilent holds a call for good while the engine is silent.
func (fake *Engine) unlessSilent(ctx context.Context) bool {
	if !fake.silent.Load() {
		return true
	}
	<-ctx.Done()
	return false
}

func sendEvent(w http.ResponseWriter, chunk *chat.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("answer cannot be flushed")
	}
	flusher.Flush()
	return nil
}

func refuseNotRun(w http.ResponseWriter, status int, message string) {
	w.Header().Set(engine.HeaderNotRun, "1")
	w.WriteHeader(status)
	_ = json.MarshalWrite(w, infra.ErrorResponse{Code: int(code.TargetRefused), Message: message})
}

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

// ExpectedTokens returns the first count tokens that a fake engine generates
// for a request. They depend only on the model and the messages, so that a
// response resumed at another engine continues the same text.
func ExpectedTokens(request *chat.Request, count int) []string {
	hash := promptHash(request)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = generateToken(hash, i)
	}
	return tokens
}

// ExpectedTokenCount returns the number of tokens that a fake engine generates
// for a request.
func ExpectedTokenCount(request *chat.Request) int {
	return outputTokenCount(request, promptHash(request))
}

func generateToken(hash uint64, index int) string {
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

// job is one chat completion that the engine runs.
type job struct {
	request      *chat.Request
	promptHash   uint64
	firstToken   int // index of the first token to send; above 0 for a resumed response
	outputTokens int // tokens of the complete response, including those before firstToken
	promptTokens int
	cachedTokens int // prompt tokens found in the prefix cache
}

func (fake *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	request := &chat.Request{}
	if err := json.UnmarshalRead(r.Body, request); err != nil {
		writeRefusal(w, http.StatusBadRequest, "body cannot be read")
		return
	}
	if !fake.hasModel(request.Model) {
		writeRefusal(w, http.StatusNotFound, "model is not loaded")
		return
	}
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	ctx, unregister := fake.registerAttempt(r)
	defer unregister()
	fake.runJob(ctx, w, r, newJob(request))
	if ctx.Err() != nil && r.Context().Err() == nil {
		panic(http.ErrAbortHandler)
	}
}

func newJob(request *chat.Request) *job {
	job := &job{request: request, promptHash: promptHash(request), promptTokens: request.EstimatePromptTokens()}
	job.outputTokens = outputTokenCount(request, job.promptHash)
	if request.Resume != nil {
		job.firstToken = request.Resume.DeliveredTokens
	}
	return job
}

// registerAttempt returns a context that ends with the request, when the engine
// crashes, or when the attempt is cancelled through the control interface.
func (fake *Engine) registerAttempt(r *http.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	attempt := r.Header.Get(engine.HeaderAttemptID)
	fake.mu.Lock()
	defer fake.mu.Unlock()
	stopAfterFunc := context.AfterFunc(fake.crashCtx, cancel)
	if attempt != "" {
		fake.cancelByAttempt[attempt] = cancel
	}
	return ctx, func() {
		stopAfterFunc()
		cancel()
		fake.mu.Lock()
		defer fake.mu.Unlock()
		delete(fake.cancelByAttempt, attempt)
	}
}

func (fake *Engine) runJob(ctx context.Context, w http.ResponseWriter, r *http.Request, job *job) {
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	if !fake.slots.acquire(ctx, priority) {
		return
	}
	defer fake.slots.release()
	blocks := job.request.BlockHashes()
	if fake.hasKVSource(r) {
		job.cachedTokens = job.promptTokens
	} else {
		job.cachedTokens = min(job.promptTokens, fake.cache.matchPrefix(blocks)*chat.TokensPerBlock)
	}
	uncachedTokens := job.promptTokens - job.cachedTokens
	prefillDelay, refused := fake.reserve(uncachedTokens, job.outputTokens-job.firstToken)
	if refused {
		writeRefusal(w, http.StatusServiceUnavailable, "engine is changing or draining")
		return
	}
	defer fake.release(uncachedTokens, job.outputTokens-job.firstToken)
	if !pause.For(ctx, prefillDelay) {
		return
	}
	if fake.crashesOn(job.request) {
		fake.Crash()
		return
	}
	fake.cache.add(blocks)
	switch {
	case r.Header.Get(engine.HeaderPhase) == string(note.RolePrefill):
		fake.exportKV(w, job)
	case job.request.Stream:
		fake.respondStream(ctx, w, job)
	default:
		fake.respondJSON(ctx, w, job)
	}
}

func (fake *Engine) crashesOn(request *chat.Request) bool {
	for _, message := range request.Messages {
		if strings.Contains(string(message.Content), CrashMarker) {
			return true
		}
	}
	return false
}

// exportKV completes a prefill: it returns a handle with which a decode engine
// can fetch the KV cache of the prompt.
func (fake *Engine) exportKV(w http.ResponseWriter, job *job) {
	handle := fake.config.ID + "/" + strconv.FormatUint(job.promptHash, 16)
	fake.mu.Lock()
	fake.kvHandles[handle] = struct{}{}
	fake.mu.Unlock()
	w.Header().Set(engine.HeaderKVHandle, handle)
	w.WriteHeader(http.StatusNoContent)
}

// hasKVSource reports whether the request names a source of the prompt's KV
// cache. Neither the transfer nor whether the source still holds the cache is
// simulated.
func (fake *Engine) hasKVSource(r *http.Request) bool {
	return r.Header.Get(engine.HeaderKVSource) != ""
}

func (fake *Engine) respondJSON(ctx context.Context, w http.ResponseWriter, job *job) {
	var text strings.Builder
	for index := job.firstToken; index < job.outputTokens; index++ {
		if !pause.For(ctx, fake.tokenInterval()) || !fake.continueUnlessStalled(ctx) {
			return
		}
		text.WriteString(generateToken(job.promptHash, index))
	}
	fake.completedRuns.Add(1)
	finishReason := "stop"
	completion := chat.Chunk{
		ID: responseID(job.promptHash), Object: "chat.completion", Created: time.Now().Unix(), Model: job.request.Model,
		Choices: []chat.Choice{{Message: &chat.ResponseText{Role: "assistant", Content: text.String()}, FinishReason: &finishReason}},
		Usage:   job.usage(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.MarshalWrite(w, &completion)
}

func (fake *Engine) respondStream(ctx context.Context, w http.ResponseWriter, job *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	for index := job.firstToken; index < job.outputTokens; index++ {
		if !pause.For(ctx, fake.tokenInterval()) || !fake.continueUnlessStalled(ctx) {
			return
		}
		delta := &chat.ResponseText{Content: generateToken(job.promptHash, index)}
		if index == 0 {
			delta.Role = "assistant"
		}
		if writeEvent(w, job.chunk(chat.Choice{Delta: delta})) != nil {
			return
		}
	}
	fake.completedRuns.Add(1)
	finishReason := "stop"
	_ = writeEvent(w, job.chunk(chat.Choice{Delta: &chat.ResponseText{}, FinishReason: &finishReason}))
	if job.request.WantsUsage() {
		usageChunk := job.chunk()
		usageChunk.Choices, usageChunk.Usage = []chat.Choice{}, job.usage()
		_ = writeEvent(w, usageChunk)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (job *job) chunk(choices ...chat.Choice) *chat.Chunk {
	return &chat.Chunk{
		ID: responseID(job.promptHash), Object: "chat.completion.chunk", Created: time.Now().Unix(),
		Model: job.request.Model, Choices: choices,
	}
}

func (job *job) usage() *chat.Usage {
	return &chat.Usage{
		PromptTokens: job.promptTokens, CompletionTokens: job.outputTokens, TotalTokens: job.promptTokens + job.outputTokens,
		PromptTokensDetails: &chat.PromptTokensDetails{CachedTokens: job.cachedTokens},
	}
}

// continueUnlessStalled returns true at once, or, if the engine is stalled,
// false when ctx ends. A call that stalled once never resumes.
func (fake *Engine) continueUnlessStalled(ctx context.Context) bool {
	if !fake.stalled.Load() {
		return true
	}
	<-ctx.Done()
	return false
}

func writeEvent(w http.ResponseWriter, chunk *chat.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(append([]byte("data: "), data...), '\n', '\n')); err != nil {
		return err
	}
	flusher, ok := w.(http.Flusher)
	if !ok {
		return errors.New("response writer does not support flushing")
	}
	flusher.Flush()
	return nil
}

// writeRefusal marks the call as not run, so that the entry instance may send it
// to another target.
func writeRefusal(w http.ResponseWriter, status int, message string) {
	w.Header().Set(engine.HeaderNotRun, "1")
	w.WriteHeader(status)
	_ = json.MarshalWrite(w, infra.ErrorResponse{Code: int(code.TargetRefused), Message: message})
}

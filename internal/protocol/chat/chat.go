// Package chat offers the messages of the OpenAI-style chat-completions call,
// as far as the system reads them. What it does not read passes unchanged.
package chat

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"mangopier.example/mangopier/internal/protocol/code"
)

const (
	bytesPerToken = 4   // estimate for prompts, before the engine has counted
	blockBytes    = 512 // prompt bytes in one block of the prefix hash
	maxBlocks     = 64
	maxNewTokens  = 1 << 20
)

// Request is the body of a chat-completions call.
type Request struct {
	Model         string         `json:"model"`
	Messages      []Message      `json:"messages"`
	Stream        bool           `json:"stream,omitzero"`
	StreamOptions *StreamOptions `json:"stream_options,omitzero"`
	MaxTokens     int            `json:"max_tokens,omitzero"`
	Resume        *Resume        `json:"resume,omitzero"`
	Rest          jsontext.Value `json:",embed"`
}

// Message is one message of the conversation.
type Message struct {
	Role    string         `json:"role"`
	Content jsontext.Value `json:"content,omitzero"` // a string or parts
	Rest    jsontext.Value `json:",embed"`
}

// StreamOptions asks for a last chunk with usage.
type StreamOptions struct {
	IncludeUsage bool           `json:"include_usage,omitzero"`
	Rest         jsontext.Value `json:",embed"`
}

// Resume asks an engine to go on with an answer that another engine began.
type Resume struct {
	ID     string `json:"id"`     // of the answer
	Tokens int    `json:"tokens"` // tokens that the caller already has
	Text   string `json:"text"`   // their text
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object,omitzero"`
	Created int64          `json:"created,omitzero"` // seconds since 1970
	Model   string         `json:"model,omitzero"`
	Choices []Choice       `json:"choices"`
	Usage   *Usage         `json:"usage,omitzero"`
	Rest    jsontext.Value `json:",embed"`
}

// Choice is one alternative of an answer, with a message or a delta.
type Choice struct {
	Index        int            `json:"index"`
	Delta        *Text          `json:"delta,omitzero"`
	Message      *Text          `json:"message,omitzero"`
	FinishReason *string        `json:"finish_reason"`
	Rest         jsontext.Value `json:",embed"`
}

// Text is the text of a message or of a part of one.
type Text struct {
	Role    string         `json:"role,omitzero"`
	Content string         `json:"content,omitzero"`
	Rest    jsontext.Value `json:",embed"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitzero"`
	Rest             jsontext.Value `json:",embed"`
}

// PromptDetails tells how much of a prompt came from a cache.
type PromptDetails struct {
	CachedTokens int            `json:"cached_tokens"`
	Rest         jsontext.Value `json:",embed"`
}

// CachedTokens returns the prompt tokens that came from a cache.
func (usage *Usage) CachedTokens() int {
	if usage.Details == nil {
		return 0
	}
	return usage.Details.CachedTokens
}

// Decode reads a request. Errors have code.MalformedRequest.
func Decode(body []byte) (*Request, error) {
	request := &Request{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, code.Wrap(err, code.MalformedRequest, "chat request")
	}
	switch {
	case request.Model == "":
		return nil, code.Errorf(code.MalformedRequest, "chat request: model is missing")
	case len(request.Messages) == 0:
		return nil, code.Errorf(code.MalformedRequest, "chat request: messages are missing")
	case request.MaxTokens < 0 || request.MaxTokens > maxNewTokens:
		return nil, code.Errorf(code.MalformedRequest, "chat request: max_tokens %d is out of range", request.MaxTokens)
	case request.Resume != nil:
		return nil, code.Errorf(code.MalformedRequest, "chat request: resume is for engines only")
	}
	return request, nil
}

// Encode returns the request as JSON for a target.
func (request *Request) Encode() ([]byte, error) {
	return json.Marshal(request)
}

// WantsUsage reports whether the caller asked for usage in the stream.
func (request *Request) WantsUsage() bool {
	return request.StreamOptions != nil && request.StreamOptions.IncludeUsage
}

// AskUsage makes the engine report usage at the end of the stream.
func (request *Request) AskUsage() {
	if request.StreamOptions == nil {
		request.StreamOptions = &StreamOptions{}
	}
	request.StreamOptions.IncludeUsage = true
}

// PromptTokens estimates the tokens of the prompt from its size.
func (request *Request) PromptTokens() int {
	size := 0
	for _, message := range request.Messages {
		size += len(message.Content)
	}
	return 1 + size/bytesPerToken
}

// Blocks returns the chained hashes of the prompt's leading blocks, by which
// prompts with a common prefix share their first hashes. Each block stands
// for BlockTokens tokens.
func (request *Request) Blocks() []uint64 {
	digest := xxhash.New()
	var blocks []uint64
	filled := 0
	for _, message := range request.Messages {
		text := []byte(message.Content)
		for len(text) > 0 && len(blocks) < maxBlocks {
			part := text[:min(len(text), blockBytes-filled)]
			_, _ = digest.Write(part)
			text, filled = text[len(part):], filled+len(part)
			if filled == blockBytes {
				blocks, filled = append(blocks, digest.Sum64()), 0
			}
		}
	}
	return blocks
}

// BlockTokens is the number of prompt tokens that one block stands for.
const BlockTokens = blockBytes / bytesPerToken

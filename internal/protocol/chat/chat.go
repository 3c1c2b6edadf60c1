// Package chat defines the messages of the OpenAI-style chat-completions API, as
// far as the system reads them. Fields that it does not read are kept and
// forwarded unchanged.
package chat

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"mangopier.example/mangopier/internal/protocol/code"
)

const (
	bytesPerToken   = 4   // estimate for prompts, used until the engine reports its count
	blockBytes      = 512 // prompt bytes in one hashed block
	maxPrefixBlocks = 64  // longest prefix that is hashed
	maxOutputTokens = 1 << 20
)

// Request is the body of a chat-completions request.
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
	Content jsontext.Value `json:"content,omitzero"` // a string or a list of content parts
	Rest    jsontext.Value `json:",embed"`
}

// StreamOptions holds options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool           `json:"include_usage,omitzero"` // ask for a last chunk with usage
	Rest         jsontext.Value `json:",embed"`
}

// Resume asks an engine to continue a response that another engine began. Only
// the system sends it; callers must not.
type Resume struct {
	ResponseID      string `json:"id"`     // of the response
	DeliveredTokens int    `json:"tokens"` // tokens already delivered to the caller
	DeliveredText   string `json:"text"`   // text of these tokens
}

// Chunk is one event of a streamed response, or a whole response that is not
// streamed.
type Chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object,omitzero"`
	Created int64          `json:"created,omitzero"` // Unix time in seconds
	Model   string         `json:"model,omitzero"`
	Choices []Choice       `json:"choices"`
	Usage   *Usage         `json:"usage,omitzero"`
	Rest    jsontext.Value `json:",embed"`
}

// Choice is one alternative of a response. It holds a delta in a streamed response
// and a message otherwise.
type Choice struct {
	Index        int            `json:"index"`
	Delta        *ResponseText  `json:"delta,omitzero"`
	Message      *ResponseText  `json:"message,omitzero"`
	FinishReason *string        `json:"finish_reason"`
	Rest         jsontext.Value `json:",embed"`
}

// ResponseText is the text of a message or of a delta.
type ResponseText struct {
	Role    string         `json:"role,omitzero"`
	Content string         `json:"content,omitzero"`
	Rest    jsontext.Value `json:",embed"`
}

// Usage is the token usage of one request.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitzero"`
	Rest                jsontext.Value       `json:",embed"`
}

// PromptTokensDetails breaks down the prompt tokens of a request.
type PromptTokensDetails struct {
	CachedTokens int            `json:"cached_tokens"`
	Rest         jsontext.Value `json:",embed"`
}

// CachedTokens returns the number of prompt tokens served from the prefix cache, 0
// if the engine did not report it.
func (usage *Usage) CachedTokens() int {
	if usage.PromptTokensDetails == nil {
		return 0
	}
	return usage.PromptTokensDetails.CachedTokens
}

// Decode parses and checks a caller's request. Errors have code.MalformedRequest.
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
	case request.MaxTokens < 0 || request.MaxTokens > maxOutputTokens:
		return nil, code.Errorf(code.MalformedRequest, "chat request: max_tokens %d is out of range", request.MaxTokens)
	case request.Resume != nil:
		return nil, code.Errorf(code.MalformedRequest, "chat request: resume is for engines only")
	}
	return request, nil
}

// Encode returns the request as JSON, including the fields that Decode did not
// read.
func (request *Request) Encode() ([]byte, error) {
	return json.Marshal(request)
}

// WantsUsage reports whether the request asks for usage at the end of the stream.
func (request *Request) WantsUsage() bool {
	return request.StreamOptions != nil && request.StreamOptions.IncludeUsage
}

// EnableUsage sets the option that makes the engine report usage at the end of the
// stream.
func (request *Request) EnableUsage() {
	if request.StreamOptions == nil {
		request.StreamOptions = &StreamOptions{}
	}
	request.StreamOptions.IncludeUsage = true
}

// EstimatePromptTokens estimates the number of prompt tokens from the size of the
// messages.
func (request *Request) EstimatePromptTokens() int {
	size := 0
	for _, message := range request.Messages {
		size += len(message.Content)
	}
	return 1 + size/bytesPerToken
}

// BlockHashes returns the hashes of the prompt's leading blocks. Each hash covers the
// prompt up to the end of its block, so prompts with a common prefix have their
// first hashes in common. A block stands for an estimated TokensPerBlock tokens; an
// incomplete last block is left out.
func (request *Request) BlockHashes() []uint64 {
	hasher := xxhash.New()
	var hashes []uint64
	blockLength := 0
	for _, message := range request.Messages {
		text := []byte(message.Content)
		for len(text) > 0 && len(hashes) < maxPrefixBlocks {
			chunk := text[:min(len(text), blockBytes-blockLength)]
			_, _ = hasher.Write(chunk)
			text, blockLength = text[len(chunk):], blockLength+len(chunk)
			if blockLength == blockBytes {
				hashes, blockLength = append(hashes, hasher.Sum64()), 0
			}
		}
	}
	return hashes
}

// TokensPerBlock is the estimated number of prompt tokens in one block.
const TokensPerBlock = blockBytes / bytesPerToken

package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/tmaxmax/go-sse"

	"mangopier.example/mangopier/internal/protocol/chat"
)

const (
	requestTimeout = 60 * time.Second
	maxEventBytes  = 1 << 20
	bytesPerToken  = 4
)

// outcome describes how one request ended.
type outcome struct {
	arrival    Arrival
	status     int    // HTTP status, 0 without a response
	runStatus  string // run status header of the response
	complete   bool   // the stream ended with its final event
	tokenCount int
	ttft       time.Duration
	tokenGaps  []time.Duration
	totalTime  time.Duration
}

// client sends requests to the entry instances of an endpoint.
type client struct {
	httpClient *http.Client
	endpoint   Endpoint
	workload   Workload
}

func newClient(endpoint Endpoint, workload Workload) *client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: workload.maxInFlight(),
		IdleConnTimeout:     requestTimeout,
	}
	return &client{
		httpClient: &http.Client{Transport: transport, Timeout: requestTimeout},
		endpoint:   endpoint,
		workload:   workload,
	}
}

func (client *client) close() { client.httpClient.CloseIdleConnections() }

// send sends the request of an arrival and reads the response to its end.
func (client *client) send(ctx context.Context, arrival Arrival) outcome {
	outcome := outcome{arrival: arrival}
	request, err := client.newRequest(ctx, arrival)
	if err != nil {
		return outcome
	}
	started := time.Now()
	response, err := client.httpClient.Do(request)
	if err != nil {
		outcome.totalTime = time.Since(started)
		return outcome
	}
	defer response.Body.Close()
	outcome.status = response.StatusCode
	outcome.runStatus = response.Header.Get(headerRunStatus)
	if response.StatusCode == http.StatusOK {
		outcome.readEvents(response.Body, started)
	}
	outcome.totalTime = time.Since(started)
	return outcome
}

// Headers exchanged with an entry instance.
const (
	headerRunStatus = "X-Mangopier-Run"
	headerDeadline  = "X-Deadline-Ms"
)

func (client *client) newRequest(ctx context.Context, arrival Arrival) (*http.Request, error) {
	body, err := client.encodeBody(arrival)
	if err != nil {
		return nil, err
	}
	entryURLs := client.endpoint.EntryURLs
	url := entryURLs[arrival.Sequence%uint64(len(entryURLs))] + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+client.endpoint.APIKeys[arrival.Team])
	if client.workload.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(client.workload.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

func (client *client) encodeBody(arrival Arrival) ([]byte, error) {
	content, err := json.Marshal(promptText(arrival))
	if err != nil {
		return nil, err
	}
	request := chat.Request{
		Model:     client.workload.Model,
		Messages:  []chat.Message{{Role: "user", Content: content}},
		Stream:    true,
		MaxTokens: arrival.OutputTokens,
	}
	return request.Encode()
}

// promptText returns a text of about as many tokens as the arrival asks for.
// Prompts with the same prefix index share their beginning; no two prompts
// are equal.
func promptText(arrival Arrival) string {
	var text strings.Builder
	if arrival.PrefixIndex >= 0 {
		text.WriteString(repeatToTokens(fmt.Sprintf("prefix %d ", arrival.PrefixIndex), arrival.PrefixTokens))
	}
	text.WriteString(repeatToTokens(fmt.Sprintf("request %d ", arrival.Sequence), arrival.PromptTokens))
	return text.String()
}

func repeatToTokens(text string, tokens int) string {
	size := max(tokens*bytesPerToken, len(text))
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// readEvents reads the events of a response until the final one or an error.
func (outcome *outcome) readEvents(body io.Reader, started time.Time) {
	last := started
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			outcome.complete = true
			return
		}
		if !hasToken(event.Data) {
			continue
		}
		now := time.Now()
		if outcome.tokenCount == 0 {
			outcome.ttft = now.Sub(started)
		} else {
			outcome.tokenGaps = append(outcome.tokenGaps, now.Sub(last))
		}
		outcome.tokenCount++
		last = now
	}
}

// hasToken reports whether an event carries generated text.
func hasToken(data string) bool {
	var chunk chat.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return false
	}
	delta := chunk.Choices[0].Delta
	return delta != nil && delta.Content != ""
}

// withinLimits reports whether the response is complete and met the limits.
func (outcome *outcome) withinLimits(limits LatencyLimits) bool {
	if !outcome.complete || outcome.tokenCount != outcome.arrival.OutputTokens {
		return false
	}
	if limits.MaxTTFT > 0 && outcome.ttft > limits.MaxTTFT {
		return false
	}
	return limits.MaxMeanTokenGap <= 0 || outcome.meanTokenGap() <= limits.MaxMeanTokenGap
}

func (outcome *outcome) meanTokenGap() time.Duration {
	if len(outcome.tokenGaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, gap := range outcome.tokenGaps {
		sum += gap
	}
	return sum / time.Duration(len(outcome.tokenGaps))
}

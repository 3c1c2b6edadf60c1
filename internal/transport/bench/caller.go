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

// Bounds of one call.
const (
	callTimeout    = 60 * time.Second
	eventMostBytes = 1 << 20
	bytesPerToken  = 4
)

// outcome is how one request ended.
type outcome struct {
	arrival   Arrival
	status    int    // of HTTP, 0 if there was no answer
	run       string // what a refusal said of the run
	whole     bool   // the answer arrived to its end
	tokens    int
	firstByte time.Duration
	gaps      []time.Duration
	total     time.Duration
}

// caller sends requests to the entries of an endpoint.
type caller struct {
	client   *http.Client
	endpoint Endpoint
	workload Workload
}

func newCaller(endpoint Endpoint, workload Workload) *caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: workload.inFlightMost(),
		IdleConnTimeout:     callTimeout,
	}
	return &caller{
		client:   &http.Client{Transport: transport, Timeout: callTimeout},
		endpoint: endpoint,
		workload: workload,
	}
}

func (caller *caller) close() { caller.client.CloseIdleConnections() }

// call sends the request of an arrival and reads its answer to the end.
func (caller *caller) call(ctx context.Context, arrival Arrival) outcome {
	outcome := outcome{arrival: arrival}
	request, err := caller.request(ctx, arrival)
	if err != nil {
		return outcome
	}
	started := time.Now()
	answer, err := caller.client.Do(request)
	if err != nil {
		outcome.total = time.Since(started)
		return outcome
	}
	defer answer.Body.Close()
	outcome.status = answer.StatusCode
	outcome.run = answer.Header.Get(headerRun)
	if answer.StatusCode == http.StatusOK {
		outcome.read(answer.Body, started)
	}
	outcome.total = time.Since(started)
	return outcome
}

// Headers towards and from an entry.
const (
	headerRun      = "X-Mangopier-Run"
	headerDeadline = "X-Deadline-Ms"
)

func (caller *caller) request(ctx context.Context, arrival Arrival) (*http.Request, error) {
	body, err := caller.body(arrival)
	if err != nil {
		return nil, err
	}
	entries := caller.endpoint.Entries
	url := entries[arrival.Number%uint64(len(entries))] + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+caller.endpoint.Keys[arrival.Team])
	if caller.workload.Deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(caller.workload.Deadline.Milliseconds(), 10))
	}
	return request, nil
}

func (caller *caller) body(arrival Arrival) ([]byte, error) {
	content, err := json.Marshal(prompt(arrival))
	if err != nil {
		return nil, err
	}
	request := chat.Request{
		Model:     caller.workload.Model,
		Messages:  []chat.Message{{Role: "user", Content: content}},
		Stream:    true,
		MaxTokens: arrival.OutputTokens,
	}
	return request.Encode()
}

// prompt returns a text of about as many tokens as the arrival asks for. Those
// of one prefix begin alike; no two are the same.
func prompt(arrival Arrival) string {
	var text strings.Builder
	if arrival.Prefix >= 0 {
		text.WriteString(fill(fmt.Sprintf("prefix %d ", arrival.Prefix), arrival.PrefixTokens))
	}
	text.WriteString(fill(fmt.Sprintf("request %d ", arrival.Number), arrival.PromptTokens))
	return text.String()
}

func fill(words string, tokens int) string {
	size := max(tokens*bytesPerToken, len(words))
	return strings.Repeat(words, size/len(words)+1)[:size]
}

// read takes in the events of an answer until the last.
func (outcome *outcome) read(body io.Reader, started time.Time) {
	last := started
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: eventMostBytes}) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			outcome.whole = true
			return
		}
		if !hasToken(event.Data) {
			continue
		}
		now := time.Now()
		if outcome.tokens == 0 {
			outcome.firstByte = now.Sub(started)
		} else {
			outcome.gaps = append(outcome.gaps, now.Sub(last))
		}
		outcome.tokens++
		last = now
	}
}

// hasToken reports whether an event carries text of the answer.
func hasToken(data string) bool {
	var chunk chat.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return false
	}
	delta := chunk.Choices[0].Delta
	return delta != nil && delta.Content != ""
}

// good reports whether the answer arrived whole and within limits.
func (outcome *outcome) good(limits Limits) bool {
	if !outcome.whole || outcome.tokens != outcome.arrival.OutputTokens {
		return false
	}
	if limits.FirstByte > 0 && outcome.firstByte > limits.FirstByte {
		return false
	}
	return limits.Between <= 0 || outcome.meanGap() <= limits.Between
}

func (outcome *outcome) meanGap() time.Duration {
	if len(outcome.gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, gap := range outcome.gaps {
		sum += gap
	}
	return sum / time.Duration(len(outcome.gaps))
}

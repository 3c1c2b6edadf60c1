package lab_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/tmaxmax/go-sse"

	"mangopier.example/mangopier/internal/protocol/chat"
	"mangopier.example/mangopier/internal/protocol/conf"
	"mangopier.example/mangopier/internal/transport/fakes"
	"mangopier.example/mangopier/internal/transport/front"
	"mangopier.example/mangopier/internal/transport/lab"
)

// testTimeout ends tests that hang; no test depends on its value.
const testTimeout = 60 * time.Second

func startSystem(t *testing.T, adjustConfig func(*lab.Config)) *lab.System {
	t.Helper()
	config := lab.DemoConfig()
	config.AdjustSettings = useTestSettings
	if adjustConfig != nil {
		adjustConfig(&config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	system, err := lab.Start(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Close)
	return system
}

// useTestSettings shortens the polling and drain intervals, so that instances react
// faster than in production, and raises the queue limits, so that no request is
// refused by admission control.
func useTestSettings(settings *conf.Settings) {
	settings.Limits.BacklogSeconds, settings.Limits.QueueSeconds = 100, 100
	settings.Timeouts.DrainGraceMS = 100
	settings.Timeouts.PollMS = 50
}

// response is what a caller received.
type response struct {
	status      int
	code        int
	runStatus   string
	body        string // body of a response that is not streamed
	text        string // text of a streamed response
	complete    bool   // whether the stream ended with [DONE]
	streamError string // name of the error event of a stream
	err         error
}

// sendChat sends a chat completion request to an entry instance.
func sendChat(ctx context.Context, system *lab.System, entry int, team, body string, header ...string) response {
	return sendPOST(ctx, system, entry, "/v1/chat/completions", team, body, header...)
}

// sendPOST sends a request with the API key of a team; a team without one sends no
// key. header holds names and values in turn.
func sendPOST(ctx context.Context, system *lab.System, entry int, path, team, body string, header ...string) response {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+system.Entries[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key, ok := system.APIKeys[team]; ok {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	got := response{status: httpResponse.StatusCode, runStatus: httpResponse.Header.Get(front.HeaderRun)}
	got.code, _ = strconv.Atoi(httpResponse.Header.Get(front.HeaderCode))
	if strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		got.readStream(httpResponse.Body)
		return got
	}
	data, err := io.ReadAll(httpResponse.Body)
	got.body, got.err = string(data), err
	return got
}

func (response *response) readStream(body io.Reader) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			response.err = err
			return
		}
		if event.Data == "[DONE]" {
			response.complete = true
			continue
		}
		var streamError front.ErrorBody
		if json.Unmarshal([]byte(event.Data), &streamError) == nil && streamError.Error.Code != 0 {
			response.streamError = streamError.Error.Name
			continue
		}
		var chunk chat.Chunk
		if response.err = json.Unmarshal([]byte(event.Data), &chunk); response.err != nil {
			return
		}
		for _, choice := range chunk.Choices {
			response.text += choice.Delta.Content
		}
	}
}

func chatBody(prompt string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"layout","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, maxTokens, stream)
}

// expectedText returns the text that the fake engines generate for a request body.
func expectedText(t *testing.T, body string) string {
	t.Helper()
	var request chat.Request
	if err := json.UnmarshalRead(bytes.NewReader([]byte(body)), &request); err != nil {
		t.Fatal(err)
	}
	return strings.Join(fakes.ExpectedTokens(&request, fakes.ExpectedTokenCount(&request)), "")
}

// waitFor polls until condition returns true, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", testTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

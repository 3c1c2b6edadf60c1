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

// testTimeout only ends tests that hang.
const testTimeout = 60 * time.Second

func start(t *testing.T, change func(*lab.Plan)) *lab.Lab {
	t.Helper()
	plan := lab.Demo()
	plan.Adjust = quick
	if change != nil {
		change(&plan)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	running, err := lab.Start(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(running.Close)
	return running
}

// quick makes an instance notice things sooner than in production, and admits
// whatever comes.
func quick(settings *conf.Settings) {
	settings.Limits.BacklogSeconds, settings.Limits.QueueSeconds = 100, 100
	settings.Timeouts.DrainGraceMS = 100
	settings.Timeouts.PollMS = 50
}

// answer is what a caller got.
type answer struct {
	status  int
	code    int
	run     string
	body    string
	text    string // of a streamed answer
	done    bool   // the stream ended in its end mark
	failure string // error event of a stream
	err     error
}

// ask sends a chat request to an entry instance.
func ask(ctx context.Context, running *lab.Lab, entry int, team, body string, header ...string) answer {
	return post(ctx, running, entry, "/v1/chat/completions", team, body, header...)
}

func post(ctx context.Context, running *lab.Lab, entry int, path, team, body string, header ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+running.Entries[entry].CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key, ok := running.Keys[team]; ok {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	got := answer{status: reply.StatusCode, run: reply.Header.Get(front.HeaderRun)}
	got.code, _ = strconv.Atoi(reply.Header.Get(front.HeaderCode))
	if strings.HasPrefix(reply.Header.Get("Content-Type"), "text/event-stream") {
		got.readStream(reply.Body)
		return got
	}
	data, err := io.ReadAll(reply.Body)
	got.body, got.err = string(data), err
	return got
}

func (answer *answer) readStream(body io.Reader) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			answer.err = err
			return
		}
		if event.Data == "[DONE]" {
			answer.done = true
			continue
		}
		var failure front.ErrorBody
		if json.Unmarshal([]byte(event.Data), &failure) == nil && failure.Error.Code != 0 {
			answer.failure = failure.Error.Name
			continue
		}
		var chunk chat.Chunk
		if answer.err = json.Unmarshal([]byte(event.Data), &chunk); answer.err != nil {
			return
		}
		for _, choice := range chunk.Choices {
			answer.text += choice.Delta.Content
		}
	}
}

func chatBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"layout","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

// wantText returns the text that the stand-in engines give to a prompt.
func wantText(t *testing.T, body string) string {
	t.Helper()
	var request chat.Request
	if err := json.UnmarshalRead(bytes.NewReader([]byte(body)), &request); err != nil {
		t.Fatal(err)
	}
	return strings.Join(fakes.Words(&request, fakes.Count(&request)), "")
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(limit) {
			t.Fatalf("%s did not come", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

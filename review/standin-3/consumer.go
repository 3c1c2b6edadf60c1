package main

import (
	"bufio"
	"context"
	crand "crypto/rand"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// prompt is what a consumer asks.
type prompt struct {
	path   string
	parts  []string // IDs of the shared parts, of 2,000 tokens each; one of the request's own follows
	tokens int      // of the output, one for each event
}

// streamTry is what one consumer attempt of a stream got.
type streamTry struct {
	attempt  string
	sentAt   time.Time
	status   int
	signed   bool   // with a Response-Signature
	code     string // of the error response of an instance
	events   []streamEvent
	complete bool // the answer ended as complete
	err      error
}

type streamEvent struct {
	id      int
	version string
	runner  string
}

// consumerStream is one stream of a consumer, over its tries.
type consumerStream struct {
	name  string
	tries []*streamTry
}

// last returns the ID of the last event that the consumer has.
func (stream *consumerStream) last() int {
	last := 0
	for _, try := range stream.tries {
		for _, event := range try.events {
			last = event.id
		}
	}
	return last
}

// versions returns the software versions that wrote the events, in their order.
func (stream *consumerStream) versions() []string {
	var versions []string
	for _, try := range stream.tries {
		for _, event := range try.events {
			if len(versions) == 0 || versions[len(versions)-1] != event.version {
				versions = append(versions, event.version)
			}
		}
	}
	return versions
}

// firstAttempt returns the attempt that brought the first event, empty for none.
func (stream *consumerStream) firstAttempt() string {
	for _, try := range stream.tries {
		if len(try.events) > 0 {
			return try.attempt
		}
	}
	return ""
}

func newAttempt() string { return strings.ToLower(crand.Text()[:16]) }

// ask sends one attempt of a stream to an instance, on a channel of its own. A stream of which
// the consumer has events is taken up.
func (site *site) ask(stream *consumerStream, instance *instance, prompt prompt, timeLeft time.Duration) *streamTry {
	return site.askUntil(context.Background(), stream, instance, prompt, timeLeft)
}

// askUntil is ask for a channel that breaks when ctx ends.
func (site *site) askUntil(ctx context.Context, stream *consumerStream, instance *instance, prompt prompt, timeLeft time.Duration) *streamTry {
	try := &streamTry{attempt: newAttempt(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", instance.ip, site.ports[0], prompt.path), strings.NewReader("prompt of "+stream.name))
	request.Host, request.GetBody = host, nil
	header := request.Header
	header.Set("Attempt-Id", try.attempt)
	header.Set("Authorization", "Bearer "+key)
	header.Set("Deadline-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	header.Set("Model", "m")
	const partTokens = 2000
	header.Set("Token-Count", fmt.Sprintf("%d,%d", partTokens*(len(prompt.parts)+1), prompt.tokens))
	prefix := strings.Builder{}
	for _, part := range prompt.parts {
		_, _ = fmt.Fprintf(&prefix, "%s:%d,", part, partTokens)
	}
	header.Set("Prompt-Prefix", fmt.Sprintf("%s%s:%d", prefix.String(), ownPart(), partTokens))
	taken := ""
	if last := stream.last(); last > 0 {
		header.Set("Last-Event-Id", strconv.Itoa(last))
		header.Set("Resumes", stream.firstAttempt())
		taken = fmt.Sprintf(", taken up after event %d of %s", last, stream.firstAttempt())
	}
	site.record.printf("consumer %s sends %s with parts %v to %s%s", stream.name, try.attempt, prompt.parts, instance.name, taken)
	defer func() {
		stream.tries = append(stream.tries, try)
		first, last := 0, 0
		if len(try.events) > 0 {
			first, last = try.events[0].id, try.events[len(try.events)-1].id
		}
		site.record.printf("consumer %s got for %s: status %d signed=%t code %s events %d-%d of versions %v complete=%t err=%v", stream.name, try.attempt, try.status, try.signed, try.code, first, last, versionsOf(try.events), try.complete, try.err)
	}()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		try.err = err
		return try
	}
	defer func() { _ = response.Body.Close() }()
	try.status, try.code = response.StatusCode, response.Header.Get("X-Mangopier-Code")
	try.signed = response.Header.Get("Response-Signature") != ""
	if try.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return try
	}
	reader := bufio.NewReader(response.Body)
	event := streamEvent{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			try.complete = err == io.EOF
			if !try.complete {
				try.err = err
			}
			return try
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			event.id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line[6:])
			if len(fields) == 3 {
				event.version, event.runner = fields[0], fields[1]
			}
		case line == "" && event.id > 0:
			try.events = append(try.events, event)
			event = streamEvent{}
		}
	}
}

// ownPart returns the ID of a part that no other prompt has.
func ownPart() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func versionsOf(events []streamEvent) []string {
	stream := consumerStream{tries: []*streamTry{{events: events}}}
	return stream.versions()
}

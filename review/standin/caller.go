package main

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one attempt of a caller.
type call struct {
	instance     *instance
	method, path string
	host, key    string
	body         string
	timeout      time.Duration
}

// result is what the caller got.
type result struct {
	attempt         string
	sentAt          time.Time
	status          int // 0 if there was no complete answer
	signature, echo string
	body            string
	err             error
}

func newID() string {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(bytes[:])
}

// callers send requests on kept connections, as PROTOCOL.md says.
type callers struct {
	record *record
	fleet  *fleet
	client *http.Client
}

func newCallers(record *record, fleet *fleet) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 3 * time.Second, DisableCompression: true}
	return &callers{record: record, fleet: fleet, client: &http.Client{Transport: transport}}
}

// send sends one attempt and waits for its answer.
func (callers *callers) send(call call) result {
	result := result{attempt: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), call.timeout+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if call.body != "" {
		body = strings.NewReader(call.body)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+callers.fleet.front(call.instance)+call.path, body)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // an attempt is sent once
	request.Host = call.host
	request.Header.Set("Attempt-Id", result.attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(call.timeout.Milliseconds(), 10))
	if call.key != "" {
		request.Header.Set("Authorization", "Bearer "+call.key)
	}
	callers.record.addf("sent     %s to %s: %s %s", result.attempt, call.instance.name, call.method, call.path)
	response, err := callers.client.Do(request)
	if err != nil {
		result.err = err
		callers.record.addf("answered %s: %v", result.attempt, err)
		return result
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		result.err = errors.Join(errors.New("answer ended early"), err)
		callers.record.addf("answered %s: %v", result.attempt, result.err)
		return result
	}
	result.status, result.body = response.StatusCode, string(data)
	result.signature, result.echo = response.Header.Get("Response-Signature"), response.Header.Get("Attempt-Id")
	callers.record.addf("answered %s: status %d, signature %q, %d bytes", result.attempt, result.status, result.signature, len(data))
	return result
}

package proxy

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/back"
)

const (
	// defaultResponseMemory bounds the bytes of responses that are buffered for all
	// requests together.
	defaultResponseMemory = 48 << 20
	// maxBodyBytes bounds a response that is buffered whole.
	maxBodyBytes = 16 << 20
	// maxHandleBytes bounds an engine's answer to a prefill.
	maxHandleBytes = 64 << 10
	// maxPendingBytes bounds the events of a run that its caller does not have: a large
	// event and one more read.
	maxPendingBytes = maxEventBytes + streamBufferBytes
	// minReadBytes is the memory taken before more of a body is read.
	minReadBytes = 4 << 10
	// freeMemoryFactor is how many times the memory that stays free one response may take.
	// Many large responses thus leave some to small ones.
	freeMemoryFactor = 2
)

// WithResponseMemory bounds the bytes of targets' responses that are buffered for all
// requests together, 48 MiB by default. A response that does not fit counts as
// truncated: bytes from a target may come without end. A bound of 0 keeps the default.
func WithResponseMemory(bytes int64) Option {
	return func(proxy *Proxy) {
		if bytes > 0 {
			proxy.memory.limit = bytes
		}
	}
}

// responseMemory counts the bytes of responses that are buffered.
type responseMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes a number of bytes for a response that holds some already. It returns false
// if the response would hold too many for what stays free.
func (memory *responseMemory) reserve(held, bytes int) bool {
	used := memory.used.Add(int64(bytes))
	if int64(held+bytes) > freeMemoryFactor*(memory.limit-used) {
		memory.used.Add(-int64(bytes))
		return false
	}
	return true
}

func (memory *responseMemory) release(bytes int) { memory.used.Add(-int64(bytes)) }

// errResponseMemory is the error of a response that does not fit into the memory.
var errResponseMemory = errors.New("responses of targets take too much memory")

// readBody reads and closes the body of a response. It returns an error if the body is
// truncated, longer than limit or does not fit into the response memory. The memory
// counts as taken until the request ends.
func (exchange *exchange) readBody(response *back.Response, limit int) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := min(max(minReadBytes, cap(body)), limit+1-len(body))
			if !exchange.reserveMemory(cap(body), grown) {
				return nil, code.Wrap(errResponseMemory, code.AnswerTruncated, "answer")
			}
			body = slices.Grow(body, grown)[: len(body) : len(body)+grown]
		}
		count, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case len(body) > limit:
			return nil, code.Errorf(code.TargetFailed, "the answer is larger than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, code.Wrap(err, code.AnswerTruncated, "answer")
		}
	}
}

// reserveMemory takes response memory for as long as the request lasts, for a response that
// holds some already.
func (exchange *exchange) reserveMemory(held, bytes int) bool {
	if !exchange.proxy.memory.reserve(held, bytes) {
		return false
	}
	exchange.reservedBytes.Add(int64(bytes))
	return true
}

// releaseMemory gives back the response memory of the request.
func (exchange *exchange) releaseMemory() {
	exchange.proxy.memory.release(int(exchange.reservedBytes.Swap(0)))
}

// reservePending takes response memory for the pending bytes of a run, or gives back
// what they do not need any more. It returns false if there is not enough.
func (run *decodeRun) reservePending() bool {
	change := cap(run.pending) - run.reserved
	switch {
	case change < 0:
		run.memory.release(-change)
	case !run.memory.reserve(run.reserved, change):
		return false
	}
	run.reserved += change
	return true
}

// Package logs provides the writer of the log. It never waits for the reader of
// the log: it buffers lines in bounded memory, and drops the oldest of a kind when
// they exceed the limit of that kind. Answered requests, requests that were not
// answered, and all other events are separate kinds, so that many lines of one kind
// do not displace those of another.
package logs

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// Kind is what a line is about. Each kind has a buffer of its own.
type Kind int

// Kinds of lines.
const (
	Routine Kind = iota // answered requests, and lines of level debug or less
	Failure             // requests that were refused, dropped or cut
	Event               // warnings, errors and all other lines
	kindCount
)

// String returns the label of the kind in metrics.
func (kind Kind) String() string {
	return [...]string{"routine", "failure", "event"}[kind]
}

// Limits bound the buffered lines of each kind, in bytes. A line counts with its
// length and entryBytes.
type Limits struct {
	RoutineBytes int
	FailureBytes int
	EventBytes   int
}

// DefaultLimits returns the limits that New uses unless WithLimits is given. They
// hold some 3,000 lines of requests of each kind.
func DefaultLimits() Limits {
	return Limits{RoutineBytes: 2 << 20, FailureBytes: 2 << 20, EventBytes: 1 << 20}
}

const (
	// entryBytes is what a buffered line takes besides its text.
	entryBytes = 64
	// reportInterval is the least time between two lines that tell of dropped
	// lines while lines are waiting.
	reportInterval = time.Second
)

// Option configures a Writer.
type Option func(*Writer)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(writer *Writer) {
		writer.limits = [kindCount]int{limits.RoutineBytes, limits.FailureBytes, limits.EventBytes}
	}
}

// WithInstance sets the name of the instance in lines that tell of dropped lines.
func WithInstance(name string) Option {
	return func(writer *Writer) { writer.instance = name }
}

// entry is a buffered line.
type entry struct {
	number uint64 // of arrival
	text   []byte
	next   *entry
}

// lines are the buffered lines of one kind, oldest first.
type lines struct {
	first, last *entry
	bytes       int
	dropped     uint64 // since the last report
}

// Writer is a zerolog.LevelWriter that passes each line on in one call of Write, in
// the order of arrival. It is a prometheus.Collector of the number of dropped lines.
type Writer struct {
	out      io.Writer
	limits   [kindCount]int
	instance string
	metric   *prometheus.CounterVec
	counters [kindCount]prometheus.Counter
	wake     chan struct{} // gets a value when lines have arrived
	stop     context.CancelFunc
	done     chan struct{} // closed when the goroutine has ended

	mutex    sync.Mutex
	buffers  [kindCount]lines
	number   uint64
	stopped  bool
	torn     bool      // the last write ended within a line; used by the goroutine only
	reported time.Time // used by the goroutine only
}

// New returns a writer that passes lines on to out until Close.
func New(out io.Writer, opts ...Option) *Writer {
	writer := &Writer{
		out: out,
		metric: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangopier_log_lines_dropped_total", Help: "Log lines that were not written, by kind.",
		}, []string{"kind"}),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	WithLimits(DefaultLimits())(writer)
	for _, opt := range opts {
		opt(writer)
	}
	for kind := range kindCount {
		writer.counters[kind] = writer.metric.WithLabelValues(kind.String())
	}
	var ctx context.Context
	ctx, writer.stop = context.WithCancel(context.Background())
	go writer.run(ctx)
	return writer
}

// Describe implements prometheus.Collector.
func (writer *Writer) Describe(descriptions chan<- *prometheus.Desc) {
	writer.metric.Describe(descriptions)
}

// Collect implements prometheus.Collector.
func (writer *Writer) Collect(metrics chan<- prometheus.Metric) { writer.metric.Collect(metrics) }

// Write buffers a line of no level. It never waits and always succeeds.
func (writer *Writer) Write(text []byte) (int, error) {
	return writer.WriteLevel(zerolog.NoLevel, text)
}

// WriteLevel buffers a line. It never waits and always succeeds.
func (writer *Writer) WriteLevel(level zerolog.Level, text []byte) (int, error) {
	kind := kindOf(level, text)
	added := &entry{text: bytes.Clone(text)}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.stopped || len(text)+entryBytes > writer.limits[kind] {
		writer.drop(kind)
		return len(text), nil
	}
	buffer := &writer.buffers[kind]
	for buffer.bytes+len(text)+entryBytes > writer.limits[kind] {
		buffer.pop()
		writer.drop(kind)
	}
	writer.number++
	added.number = writer.number
	buffer.push(added)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(text), nil
}

// Close passes on the buffered lines until ctx ends, drops the rest and returns how
// many lines that were. Lines that arrive later are dropped. It does not wait for a
// reader that stands still beyond the end of ctx.
func (writer *Writer) Close(ctx context.Context) int {
	writer.stop()
	select {
	case <-writer.done:
	case <-ctx.Done():
	}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.stopped = true
	rest := 0
	for kind := range kindCount {
		for writer.buffers[kind].first != nil {
			writer.buffers[kind].pop()
			writer.drop(kind)
			rest++
		}
	}
	return rest
}

// run passes lines on until ctx ends and no line is left.
func (writer *Writer) run(ctx context.Context) {
	defer close(writer.done)
	for {
		writer.passOn()
		select {
		case <-writer.wake:
		case <-ctx.Done():
			writer.passOn()
			return
		}
	}
}

// passOn writes the buffered lines, and before the end how many were dropped.
func (writer *Writer) passOn() {
	for {
		text, kind, found := writer.next()
		if !found || time.Since(writer.reported) >= reportInterval {
			writer.report()
		}
		if !found {
			return
		}
		if !writer.write(text) {
			writer.mutex.Lock()
			writer.drop(kind)
			writer.mutex.Unlock()
		}
	}
}

// next removes and returns the line that arrived first.
func (writer *Writer) next() (text []byte, kind Kind, found bool) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for candidate := range kindCount {
		first := writer.buffers[candidate].first
		if first != nil && (!found || first.number < writer.buffers[kind].first.number) {
			kind, found = candidate, true
		}
	}
	if !found {
		return nil, 0, false
	}
	return writer.buffers[kind].pop().text, kind, true
}

// report writes how many lines were dropped since the last report, if any were.
func (writer *Writer) report() {
	dropped := writer.takeDropped()
	if dropped == [kindCount]uint64{} {
		return
	}
	writer.reported = time.Now()
	var text bytes.Buffer
	logger := zerolog.New(&text).With().Timestamp().Str("instance", writer.instance).Str("part", "logs").Logger()
	logger.Warn().Uint64("dropped-routine", dropped[Routine]).Uint64("dropped-failure", dropped[Failure]).
		Uint64("dropped-event", dropped[Event]).Msg("log lines were dropped; the reader of the log was too slow")
	if writer.write(text.Bytes()) {
		return
	}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for kind := range kindCount {
		writer.buffers[kind].dropped += dropped[kind]
	}
}

func (writer *Writer) takeDropped() (dropped [kindCount]uint64) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for kind := range kindCount {
		dropped[kind], writer.buffers[kind].dropped = writer.buffers[kind].dropped, 0
	}
	return dropped
}

// write reports whether the text was written whole. A text after one that was
// written in part begins on a line of its own.
func (writer *Writer) write(text []byte) bool {
	if writer.torn {
		text = append([]byte("\n"), text...)
	}
	written, err := writer.out.Write(text)
	if written > 0 {
		writer.torn = written < len(text)
	}
	return err == nil && written == len(text)
}

// drop counts a dropped line. The caller holds the mutex.
func (writer *Writer) drop(kind Kind) {
	writer.buffers[kind].dropped++
	writer.counters[kind].Inc()
}

func (lines *lines) push(added *entry) {
	if lines.first == nil {
		lines.first = added
	} else {
		lines.last.next = added
	}
	lines.last = added
	lines.bytes += len(added.text) + entryBytes
}

// pop removes and returns the oldest line, of which there must be one.
func (lines *lines) pop() *entry {
	oldest := lines.first
	lines.first = oldest.next
	if lines.first == nil {
		lines.last = nil
	}
	lines.bytes -= len(oldest.text) + entryBytes
	return oldest
}

var (
	requestEnded    = []byte(`"message":"request ended"`)
	outcomeAnswered = []byte(`"outcome":"answered"`)
	partFront       = []byte(`"part":"front"`)
)

// kindOf returns the kind of a line. Quotes in values are escaped, so that no value
// can pass for a field.
func kindOf(level zerolog.Level, text []byte) Kind {
	switch {
	case level < zerolog.InfoLevel:
		return Routine
	case level > zerolog.InfoLevel:
		return Event
	case bytes.Contains(text, partFront):
		return Failure
	case !bytes.Contains(text, requestEnded):
		return Event
	case bytes.Contains(text, outcomeAnswered):
		return Routine
	default:
		return Failure
	}
}

// Sanitize truncates the text of a caller or a target and replaces invalid UTF-8,
// which readers of the log could not parse.
func Sanitize(text string) string {
	const maxBytes = 64
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	return strings.ToValidUTF8(text, "?")
}

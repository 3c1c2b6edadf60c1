package mirror

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"mangopier.example/mangopier/internal/coordination/follow"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/codec"
	"mangopier.example/mangopier/internal/state/table"
	"mangopier.example/mangopier/internal/transport/dial"
	"mangopier.example/mangopier/internal/transport/head"
)

const (
	// maxWatchWait bounds one wait for changes at a mirror, and watchTimeoutSlack
	// is how long after it the response may arrive. A mirror that no longer
	// responds is thus noticed well within the 3 s after which a draining target
	// may get no more requests.
	maxWatchWait      = time.Second
	watchTimeoutSlack = 400 * time.Millisecond
	// maxTableAge is how old the table of a mirror may be. It is longer than the
	// time between two watches of the store, and also well within those 3 s.
	maxTableAge = 2500 * time.Millisecond
	// overdueTableAge is more than the time between two responses of a store that serves a
	// mirror with readers, with MaxServedWait, and less than the 2 s within which changes have
	// to take effect, by the time between two watches of a reader and its call to the store.
	overdueTableAge = 1600 * time.Millisecond
	// MaxServedWait is how long an instance that others read from may wait for changes at
	// the store: with the time between two calls and a slow response that is less than
	// overdueTableAge.
	MaxServedWait = time.Second
	// askTimeout is more than a slow response of the store takes.
	askTimeout = 400 * time.Millisecond
	// failureBackoff is how long the store is not asked after it failed if a
	// mirror serves the table, and how long mirrors are not asked after one
	// failed if the store serves it.
	failureBackoff = 2 * time.Second
	// steadyGap is more than the time between two responses of a store that serves, and
	// less than the time after which rows expire.
	steadyGap = 2800 * time.Millisecond
	// probeInterval is the time between two attempts to list the store while a mirror
	// serves the table to an instance that should ask the store.
	probeInterval = 500 * time.Millisecond
)

// Client calls the mirrors of other instances. Its methods may be called by
// several goroutines.
type Client struct{ http *http.Client }

// ClientOption configures a client's transport.
type ClientOption func(*http.Transport)

// WithDialContext sets the function that makes connections.
func WithDialContext(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(transport *http.Transport) { transport.DialContext = dial }
}

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	const (
		idleTimeout = 10 * time.Second
		userTimeout = 2 * time.Second // watches are repeated elsewhere
		// maxHeaderBytes bounds the head of an answer.
		maxHeaderBytes = 64 << 10
	)
	transport := &http.Transport{DialContext: dial.Context(dial.New(dial.WithUserTimeout(userTimeout))), IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	for _, opt := range opts {
		opt(transport)
	}
	return &Client{http: &http.Client{Transport: head.New(transport)}}
}

// Close closes idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

func (client *Client) watch(ctx context.Context, address string, message *WatchRequest) (*WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.WaitMS)*time.Millisecond+watchTimeoutSlack)
	defer cancel()
	call := connect.NewClient[WatchRequest, WatchResponse](client.http, "http://"+address+procedure, connect.WithCodec(codec.CBOR{}), connect.WithReadMaxBytes(maxTableBytes))
	response, err := call.CallUnary(ctx, connect.NewRequest(message))
	if err != nil {
		return nil, code.Wrap(err, code.PeerUnreachable, "mirror "+address)
	}
	return response.Msg, nil
}

// watchFresh is watch, but fails if the mirror has lost contact with its source.
func (client *Client) watchFresh(ctx context.Context, address string, message *WatchRequest) (*WatchResponse, error) {
	response, err := client.watch(ctx, address, message)
	if err == nil && response.AgeMS > maxTableAge.Milliseconds() {
		err = code.Errorf(code.PeerUnreachable, "table of mirror %s is stale: last contact with its source %d ms ago", address, response.AgeMS)
	}
	return response, err
}

// FetchTable returns all rows of a table from the mirror at address, which may have
// lost contact with its source. The error has code.PeerUnreachable if the mirror does
// not respond or does not have the table.
func (client *Client) FetchTable(ctx context.Context, address, name string) ([]table.Change, error) {
	response, err := client.watch(ctx, address, &WatchRequest{Table: name})
	if err != nil {
		return nil, err
	}
	return response.Changes, nil
}

// LacksTable reports whether an error of FetchTable is the answer of a mirror that does not
// have the table.
func LacksTable(err error) bool {
	return connect.CodeOf(err) == connect.CodeUnavailable && connect.IsWireError(err)
}

// Source reads a table from the store or from a mirror. It implements
// follow.Source. Only one goroutine may use it, but any may read its last contact.
type Source struct {
	name   string
	store  follow.Source
	client *Client
	// chooseMirror returns the address of a mirror, empty for none, and whether
	// the store is asked first.
	chooseMirror func() (address string, storeFirst bool)

	mirrorAddress  string // of the mirror in use, empty if the store is in use
	mirrorBootID   uint64
	storeFailedAt  time.Time // last failure
	failedCallAt   time.Time // beginning of the call that failed last
	mirrorFailedAt time.Time // last failure
	probedAt       time.Time // end of the last probe of the store
	maxWait        func() time.Duration
	probed         *table.Page // list of a probe that succeeded, until List returns it
	era            uint64      // highest seen, of the store
	restored       bool        // more than one era was seen
	contact        atomic.Pointer[contact]
	turnedAway     atomic.Bool // the store failed the last call
}

// contact tells when the store responded. The times have readings of the monotonic clock,
// since the time of day may jump.
type contact struct {
	last        time.Time
	steadySince time.Time // from when on no response came later than steadyGap after the one before
}

// SourceOption configures a Source.
type SourceOption func(*Source)

// WithMaxWait sets the function that returns how long a watch of the store may wait for
// changes, without a limit by default. See MaxServedWait.
func WithMaxWait(maxWait func() time.Duration) SourceOption {
	return func(source *Source) { source.maxWait = maxWait }
}

// NewSource returns a source of the table that mirrors serve under the given
// name. ChooseMirror returns the address of a mirror, empty for none, and
// whether the store is asked first.
func NewSource(name string, store follow.Source, client *Client, chooseMirror func() (string, bool), opts ...SourceOption) *Source {
	source := &Source{name: name, store: store, client: client, chooseMirror: chooseMirror, maxWait: func() time.Duration { return math.MaxInt64 }}
	for _, opt := range opts {
		opt(source)
	}
	source.contact.Store(&contact{})
	return source
}

// LastContact returns when the store last responded, to this instance or to the
// mirror in use.
func (source *Source) LastContact() time.Time { return source.contact.Load().last }

// List returns all rows. It asks the store and a mirror in the order that the
// choice of mirror and recent failures give.
func (source *Source) List(ctx context.Context) (table.Page, error) {
	if probed := source.probed; probed != nil {
		source.probed = nil
		return source.useStore(*probed), nil
	}
	address, storeFirst := source.chooseMirror()
	// While a mirror is in use, a probe tells when the store responds again.
	storeFirst = storeFirst && source.mirrorAddress == "" && time.Since(source.storeFailedAt) > failureBackoff
	if address != "" && !storeFirst {
		page, turnedAway, err := source.listFromMirror(ctx, address)
		if err == nil {
			if source.shouldAskStore(turnedAway) && source.askStore(ctx) {
				page, source.probed = *source.probed, nil
				return source.useStore(page), nil
			}
			return page, nil
		}
		source.mirrorFailedAt = time.Now()
	}
	begun := time.Now()
	page, err := source.store.List(ctx)
	if err == nil {
		return source.useStore(page), nil
	}
	source.recordFailure(begun)
	if address != "" && storeFirst {
		page, _, err = source.listFromMirror(ctx, address)
	}
	return page, err
}

// shouldAskStore reports whether the store is to be asked although a mirror serves the table:
// the store turned the mirror away, and has not failed a call of this instance that began a
// short while ago. A call to a silent store tells nothing of the time after its beginning.
func (source *Source) shouldAskStore(mirrorTurnedAway bool) bool {
	return mirrorTurnedAway && time.Since(source.failedCallAt) > failureBackoff
}

// askStore lists the store although a mirror serves the table, and reports whether the store
// responded; the list is kept as that of a probe. A store that does not respond soon leaves
// the instance with the mirror.
func (source *Source) askStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	begun := time.Now()
	page, err := source.store.List(ctx)
	if err != nil {
		source.recordFailure(begun)
		return false
	}
	source.probed, source.mirrorFailedAt = &page, time.Now()
	return true
}

// recordFailure records a call that the store failed, and when it began.
func (source *Source) recordFailure(begun time.Time) {
	source.storeFailedAt, source.failedCallAt = time.Now(), begun
	source.turnedAway.Store(true)
}

// TurnedAway reports whether the store failed the last call.
func (source *Source) TurnedAway() bool { return source.turnedAway.Load() }

// useStore makes the store serve the table from a list of it on.
func (source *Source) useStore(page table.Page) table.Page {
	source.mirrorAddress = ""
	source.turnedAway.Store(false)
	source.recordContact(0)
	source.recordEra(page.Era)
	return page
}

// Watch returns the changes after a version, from the store or the mirror that
// the last list came from. It waits for some up to the given time, at a mirror
// up to maxWatchWait. An error with code.RowMissing means that the table has to
// be listed again.
func (source *Source) Watch(ctx context.Context, after uint64, wait time.Duration) (table.Page, error) {
	if source.mirrorAddress == "" {
		if address, storeFirst := source.chooseMirror(); address != "" && !storeFirst && time.Since(source.mirrorFailedAt) > failureBackoff {
			return table.Page{}, code.Errorf(code.RowMissing, "a mirror serves the table; list it there")
		}
		begun := time.Now()
		page, err := source.store.Watch(ctx, after, min(wait, source.maxWait()))
		switch {
		case err == nil:
			source.turnedAway.Store(false)
			source.recordContact(0)
			source.recordEra(page.Era)
		case !code.Is(err, code.RowMissing):
			source.recordFailure(begun) // the next list asks a mirror first
		}
		return page, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe := source.startProbe(ctx, cancel)
	response, err := source.client.watchFresh(ctx, source.mirrorAddress, &WatchRequest{
		Table: source.name, BootID: source.mirrorBootID, After: after, WaitMS: min(wait, maxWatchWait).Milliseconds(),
	})
	cancel()
	if source.endProbe(probe) {
		return table.Page{}, code.Errorf(code.RowMissing, "the store serves the table again; list it there")
	}
	if err != nil {
		return table.Page{}, err
	}
	if _, storeFirst := source.chooseMirror(); !storeFirst && source.shouldAskStore(response.TurnedAway) && source.askStore(ctx) {
		return table.Page{}, code.Errorf(code.RowMissing, "the store turned the mirror away; list it there")
	}
	if response.Snapshot {
		return table.Page{}, code.Errorf(code.RowMissing, "mirror does not have the changes after this version; list the table")
	}
	return source.mirrorPage(response)
}

// startProbe lists the store in the background if a mirror serves the table only since
// the store failed. A mirror may lose the store itself, and its table then hides changes
// until it is too old. A probe that succeeds calls found. The channel delivers the list
// if there is one, and is closed at the end of the probe; it is nil without a probe.
func (source *Source) startProbe(ctx context.Context, found func()) <-chan table.Page {
	if _, storeFirst := source.chooseMirror(); !storeFirst || time.Since(source.probedAt) < probeInterval {
		return nil
	}
	pages := make(chan table.Page, 1)
	go func() {
		defer close(pages)
		if page, err := source.store.List(ctx); err == nil {
			pages <- page
			found()
		}
	}()
	return pages
}

// endProbe waits for the end of a probe, whose context has ended, and reports whether
// it has listed the store.
func (source *Source) endProbe(probe <-chan table.Page) bool {
	if probe == nil {
		return false
	}
	page, ok := <-probe
	source.probedAt = time.Now()
	if ok {
		source.probed = &page
	}
	return ok
}

// listFromMirror lists the table at a mirror, which serves it from then on. It also returns
// whether the store turned the mirror away.
func (source *Source) listFromMirror(ctx context.Context, address string) (page table.Page, turnedAway bool, err error) {
	response, err := source.client.watchFresh(ctx, address, &WatchRequest{Table: source.name})
	if err != nil {
		return table.Page{}, false, err
	}
	source.mirrorAddress, source.mirrorBootID = address, response.BootID
	page, err = source.mirrorPage(response)
	return page, response.TurnedAway, err
}

// mirrorPage returns the page that a mirror's response holds. A mirror of an earlier
// build names no era: its rows belong to the only era that was seen, and are of no use
// after a restore of the store.
func (source *Source) mirrorPage(response *WatchResponse) (table.Page, error) {
	switch {
	case response.Era == 0 && source.restored:
		return table.Page{}, code.Errorf(code.PeerUnreachable, "mirror %s does not tell the era of its table", source.mirrorAddress)
	case response.Era == 0:
		response.Era = source.era
		for i := range response.Changes {
			response.Changes[i].Era = source.era
		}
	case response.Era < source.era:
		return table.Page{}, code.Errorf(code.PeerUnreachable, "table of mirror %s is of era %d, the store is in era %d", source.mirrorAddress, response.Era, source.era)
	}
	source.recordEra(response.Era)
	source.recordContact(response.AgeMS)
	source.turnedAway.Store(response.TurnedAway)
	return table.Page{
		Changes: response.Changes, TableVersion: response.Version, Era: response.Era,
		Age: time.Duration(response.AgeMS) * time.Millisecond,
	}, nil
}

func (source *Source) recordEra(era uint64) {
	source.restored = source.restored || (source.era > 0 && era > source.era)
	source.era = max(source.era, era)
}

// SteadySince returns from when on the store has responded without a break of more than
// steadyGap, to this instance or to the mirrors in use. It returns false if the last response is
// longer ago.
func (source *Source) SteadySince() (time.Time, bool) {
	known := source.contact.Load()
	return known.steadySince, time.Since(known.last) <= steadyGap
}

func (source *Source) recordContact(ageMS int64) {
	known := source.contact.Load()
	recorded := contact{last: time.Now().Add(-time.Duration(ageMS) * time.Millisecond), steadySince: known.steadySince}
	if recorded.last.Sub(known.last) > steadyGap {
		recorded.steadySince = recorded.last
	}
	source.contact.Store(&recorded)
}

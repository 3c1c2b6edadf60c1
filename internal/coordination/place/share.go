package place

import (
	"slices"
	"time"
)

// Share is what an instance tells the others of its work in flight.
type Share struct {
	Loads []TargetLoad `cbor:"1,keyasint,omitempty"`
	Reads []Read       `cbor:"2,keyasint,omitempty"` // since the last share that went to the same instances
}

// TargetLoad is the work of one instance at a target.
type TargetLoad struct {
	Target string         `cbor:"1,keyasint"`
	WorkMS [tiers]float32 `cbor:"2,keyasint"`
	Runs   int            `cbor:"3,keyasint"`
	Tokens int            `cbor:"4,keyasint"`
}

// Read says that an engine was sent a prompt with these parts.
type Read struct {
	Target string      `cbor:"1,keyasint"`
	Parts  []namedPart `cbor:"2,keyasint"`
	// TakesMS is the expected time until the parts are read.
	TakesMS float32 `cbor:"3,keyasint"`
}

// peer is the newest share of another instance.
type peer struct {
	share   Share
	counted []TargetLoad // what of it counts
	heard   time.Time
}

const (
	// loadFresh is how long the work that a share tells counts in full: the
	// time between two shares of near instances.
	loadFresh = 250 * time.Millisecond
	// runsFresh is how long runs count, about as long as one takes.
	runsFresh = 3 * time.Second
)

// drain leaves of a share's loads what cannot be done yet: an engine works on
// while no newer share comes.
func (peer *peer) drain(now time.Time) {
	age := now.Sub(peer.heard)
	done := float32(max(0, age-loadFresh)) / float32(time.Millisecond)
	peer.counted = peer.counted[:0]
	for _, load := range peer.share.Loads {
		for tier := range load.WorkMS {
			load.WorkMS[tier] = max(0, load.WorkMS[tier]-done)
		}
		if age > runsFresh {
			load.Runs, load.Tokens = 0, 0
		}
		peer.counted = append(peer.counted, load)
	}
}

// shareAge is how long a share counts at most. Shares of instances that have
// gone quiet are forgotten before.
const shareAge = 20 * time.Second

// mostReads bounds the reads of one share: those of ten seconds at ten requests
// a second.
const mostReads = 100

// Export returns the share of this instance, with the readings of the last
// rounds: one for those who get the share of each round.
func (book *Book) Export(rounds int) Share {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.sumPeers(time.Now())
	var share Share
	for id, state := range book.targets {
		if state.own == (Load{}) {
			continue
		}
		load := TargetLoad{Target: id, Runs: state.own.Runs, Tokens: state.own.Tokens}
		for tier, work := range state.own.WorkMS {
			load.WorkMS[tier] = float32(work)
		}
		share.Loads = append(share.Loads, load)
	}
	share.Reads = book.newReads(rounds)
	return share
}

// EndRound begins a new round of shares.
func (book *Book) EndRound() {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.round++
	book.reads = slices.DeleteFunc(book.reads, func(read roundRead) bool { return read.round <= book.round-keptRounds })
}

// keptRounds is how many rounds a share may cover at most.
const keptRounds = 32

// roundRead is a reading and the round in which it began.
type roundRead struct {
	Read

	round int
}

// tell keeps a reading for the next shares. The last part of a prompt is its
// own and left out.
func (book *Book) tell(read Read) {
	if len(read.Parts) > 1 {
		read.Parts = read.Parts[:len(read.Parts)-1]
	}
	if len(book.reads) == keptRounds*mostReads {
		book.reads = slices.Delete(book.reads, 0, 1)
	}
	book.reads = append(book.reads, roundRead{read, book.round})
}

// newReads returns the newest readings of the last rounds.
func (book *Book) newReads(rounds int) []Read {
	var reads []Read
	for _, read := range book.reads {
		if read.round > book.round-rounds {
			reads = append(reads, read.Read)
		}
	}
	return reads[max(0, len(reads)-mostReads):]
}

// Merge takes the share of another instance in the place of its last one.
func (book *Book) Merge(instance string, share Share) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	now := time.Now()
	for _, read := range share.Reads {
		if state, ok := book.targets[read.Target]; ok && state.cache != nil {
			takes := time.Duration(read.TakesMS * float32(time.Millisecond))
			state.cache.use(read.Parts, now.Add(takes))
		}
	}
	share.Reads = nil
	if before, ok := book.peers[instance]; ok {
		book.addPeer(before.counted, -1)
	}
	added := &peer{share: share, heard: now}
	added.drain(now)
	book.peers[instance] = added
	book.addPeer(added.counted, 1)
}

// Forget drops the share of an instance that has gone quiet.
func (book *Book) Forget(instance string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	delete(book.peers, instance)
	book.sumPeers(time.Now())
}

// sumPeers adds up what the others have in flight by now.
func (book *Book) sumPeers(now time.Time) {
	for _, state := range book.targets {
		state.others = Load{}
	}
	for instance, peer := range book.peers {
		if now.Sub(peer.heard) > shareAge {
			delete(book.peers, instance)
			continue
		}
		peer.drain(now)
		book.addPeer(peer.counted, 1)
	}
}

// addPeer adds or, with the sign -1, takes away the loads of a peer.
func (book *Book) addPeer(loads []TargetLoad, sign float64) {
	for i := range loads {
		book.addPeerLoad(&loads[i], sign)
	}
}

func (book *Book) addPeerLoad(told *TargetLoad, sign float64) {
	state, ok := book.targets[told.Target]
	if !ok {
		return
	}
	load := Load{Runs: told.Runs, Tokens: told.Tokens}
	for tier, work := range told.WorkMS {
		load.WorkMS[tier] = float64(work)
	}
	state.others.add(&load, sign)
}

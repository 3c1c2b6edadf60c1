package route

const (
	maxAffinityBlocks = 8 // leading blocks that determine the owners of a prompt
	randomCandidates  = 2
	holderCandidates  = 2
	ownerCandidates   = 2
	maxCandidates     = randomCandidates + holderCandidates + ownerCandidates
)

// candidate is a target with the expected cost of sending the request to it.
type candidate struct {
	target       *viewTarget
	cachedTokens int // expected
	work         Work
	workAhead    Work // that the request waits for
	costSeconds  float64
}

// candidateSet is the bounded set of targets that are compared by cost.
type candidateSet struct {
	targets           [maxCandidates]*viewTarget
	count             int
	hitRatio          hitRatio
	owner             *viewTarget // first owner of the prefix, nil if there is none
	meanPrefillTokens float64     // mean prefill backlog of the targets scanned
}

// owners collects the highest-ranked targets of a prefix by rendezvous hashing.
type owners struct {
	prefixHash uint64
	targets    [ownerCandidates]*viewTarget // highest rank first
	ranks      [ownerCandidates]uint64
}

// holders collects targets that are expected to have a prefix cached.
type holders struct {
	targets [holderCandidates]*viewTarget
	count   int
}

func (owners *owners) consider(viewTarget *viewTarget) {
	rank := mixHash(owners.prefixHash ^ viewTarget.idHash)
	for i := range owners.targets {
		if owners.targets[i] == nil || rank > owners.ranks[i] {
			viewTarget, owners.targets[i] = owners.targets[i], viewTarget
			rank, owners.ranks[i] = owners.ranks[i], rank
		}
		if viewTarget == nil {
			return
		}
	}
}

func (holders *holders) consider(viewTarget *viewTarget, lastBlock uint64) {
	if holders.count < holderCandidates && viewTarget.prefixIndex.contains(lastBlock) {
		holders.targets[holders.count] = viewTarget
		holders.count++
	}
}

func (candidateSet *candidateSet) addOwners(owners *owners) {
	candidateSet.owner = owners.targets[0]
	for _, viewTarget := range owners.targets {
		candidateSet.add(viewTarget)
	}
}

func (candidateSet *candidateSet) addHolders(holders *holders) {
	for _, viewTarget := range holders.targets[:holders.count] {
		candidateSet.add(viewTarget)
	}
}

func (candidateSet *candidateSet) add(added *viewTarget) {
	if added == nil {
		return
	}
	for _, viewTarget := range candidateSet.targets[:candidateSet.count] {
		if viewTarget == added {
			return
		}
	}
	candidateSet.targets[candidateSet.count] = added
	candidateSet.count++
}

// prefixAffinity returns the hash that determines the owners of a prompt's
// prefix, and the last block of that prefix: a target that has it cached has the
// whole prefix. The hash is 0 only for a prompt without blocks.
func prefixAffinity(blocks []uint64) (prefixHash, lastBlock uint64) {
	if len(blocks) == 0 {
		return 0, 0
	}
	lastBlock = blocks[min(len(blocks), maxAffinityBlocks)-1]
	return mixHash(lastBlock) | 1, lastBlock
}

// mixHash is the finalizer of SplitMix64; it spreads the bits of a hash.
func mixHash(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

package route

const (
	affinityBlocks = 8 // leading blocks that decide where a prompt belongs
	randomChoices  = 2
	holderChoices  = 2
	ownerChoices   = 2
	candidateLimit = randomChoices + holderChoices + ownerChoices
)

// candidate is a target and what sending the request to it is expected to cost.
type candidate struct {
	member *member
	cached int // prompt tokens
	work   Work
	ahead  Work
	cost   float64 // seconds
}

// candidates is the small set of targets that are compared by cost.
type candidates struct {
	members [candidateLimit]*member
	count   int
	hint    hint
	owner   *member // first owner of the prefix, nil without one
	mean    float64 // mean prefill backlog of the targets looked at
}

// owners finds the first targets of a prefix by rendezvous hashing.
type owners struct {
	key   uint64
	first [ownerChoices]*member
	ranks [ownerChoices]uint64
}

// holders finds targets that are known to hold a prefix.
type holders struct {
	members [holderChoices]*member
	count   int
}

func (owners *owners) see(candidate *member) {
	rank := mix(owners.key ^ candidate.hash)
	for i := range owners.first {
		if owners.first[i] == nil || rank > owners.ranks[i] {
			candidate, owners.first[i] = owners.first[i], candidate
			rank, owners.ranks[i] = owners.ranks[i], rank
		}
		if candidate == nil {
			return
		}
	}
}

func (holders *holders) see(candidate *member, probe uint64) {
	if holders.count < holderChoices && candidate.prefixes.has(probe) {
		holders.members[holders.count] = candidate
		holders.count++
	}
}

func (found *candidates) addOwners(owners *owners) {
	found.owner = owners.first[0]
	for _, member := range owners.first {
		found.add(member)
	}
}

func (found *candidates) addHolders(holders *holders) {
	for _, member := range holders.members[:holders.count] {
		found.add(member)
	}
}

func (found *candidates) add(candidate *member) {
	if candidate == nil {
		return
	}
	for _, member := range found.members[:found.count] {
		if member == candidate {
			return
		}
	}
	found.members[found.count] = candidate
	found.count++
}

// affinity returns the hash that decides the owners of a prompt's prefix, and
// the block whose presence shows that a target holds that prefix.
func affinity(blocks []uint64) (key, probe uint64) {
	if len(blocks) == 0 {
		return 0, 0
	}
	probe = blocks[min(len(blocks), affinityBlocks)-1]
	return mix(probe) | 1, probe
}

// mix spreads the bits of a hash.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

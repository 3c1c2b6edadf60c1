package route

import (
	"math/rand/v2"
	"time"
)

const (
	scanChunkSize         = 64   // targets of a pool that are scanned at a time
	initialHitRatio       = 0.95 // share of a prompt expected in the owner's cache before any observation
	maxOwnerBacklogFactor = 2.0  // prefill backlog of the owner, in mean backlogs, above which affinity is ignored
	missCostWeight        = 2.0  // extra weight of the prefill time of a miss, since it evicts other blocks
)

// CostPicker is a picker that returns the cheapest of a few candidates: the
// owners of the prompt's prefix by rendezvous hashing, targets expected to have
// it cached, and random ones.
type CostPicker struct {
	randSource func() uint64
	hitRatios  teamHitRatios
}

// CostPickerOption sets an option of a CostPicker.
type CostPickerOption func(*CostPicker)

// WithRandSource sets the source of random numbers. It must be safe for
// concurrent use if the picker is used concurrently. The default is
// math/rand/v2.
func WithRandSource(randSource func() uint64) CostPickerOption {
	return func(costPicker *CostPicker) { costPicker.randSource = randSource }
}

// WithInitialHitRatio sets the share of a prompt that is expected in the cache
// of the prefix's owner before the first observation for the team. The default is
// 0.95.
func WithInitialHitRatio(ratio float64) CostPickerOption {
	return func(costPicker *CostPicker) { costPicker.hitRatios.initial = ratio }
}

// NewCostPicker returns a CostPicker.
func NewCostPicker(opts ...CostPickerOption) *CostPicker {
	costPicker := &CostPicker{randSource: rand.Uint64, hitRatios: teamHitRatios{initial: initialHitRatio}}
	for _, opt := range opts {
		opt(costPicker)
	}
	return costPicker
}

// Pick returns the candidate with the lowest expected cost. If sampling by
// health weight leaves no target, it ignores the weights.
func (costPicker *CostPicker) Pick(view *View, request *Request) (Choice, error) {
	pool := view.pools[request.poolKey()]
	if choice, ok := costPicker.pickInChunks(pool, request, costPicker.sampleByWeight); ok {
		return choice, nil
	}
	if choice, ok := costPicker.pickInChunks(pool, request, acceptAny); ok {
		return choice, nil
	}
	return Choice{}, noTargetError(request)
}

// pickInChunks scans the farther targets of a large pool only if no nearer one
// can be used. The pool is ordered by distance.
func (costPicker *CostPicker) pickInChunks(pool []*viewTarget, request *Request, accepts func(*viewTarget) bool) (Choice, bool) {
	for len(pool) > 0 {
		chunk := pool[:min(len(pool), scanChunkSize)]
		if choice, ok := costPicker.pickCheapest(chunk, request, accepts); ok {
			return choice, true
		}
		pool = pool[len(chunk):]
	}
	return Choice{}, false
}

func (costPicker *CostPicker) pickCheapest(pool []*viewTarget, request *Request, accepts func(*viewTarget) bool) (Choice, bool) {
	candidateSet := candidateSet{hitRatio: costPicker.hitRatios.forTeam(request.Team)}
	costPicker.collectCandidates(&candidateSet, pool, request, accepts)
	var best candidate
	for _, viewTarget := range candidateSet.targets[:candidateSet.count] {
		if candidate := rateCandidate(&candidateSet, viewTarget, request); best.target == nil || candidate.costSeconds < best.costSeconds {
			best = candidate
		}
	}
	if best.target == nil {
		return Choice{}, false
	}
	choice := newChoice(best.target, request, best.work, best.workAhead)
	choice.CachedTokens = best.cachedTokens
	if best.target == candidateSet.owner {
		choice.state.hitRatio = candidateSet.hitRatio
	}
	return choice, true
}

// rateCandidate estimates the cost of sending the request to a target, including
// the cost of a cache miss to later requests. The first owner of the prefix is
// credited with the hit ratio observed at owners, as other instances send the
// prefix there too, unless its backlog is far above the mean.
func rateCandidate(candidateSet *candidateSet, viewTarget *viewTarget, request *Request) candidate {
	cached := viewTarget.expectedCachedTokens(request)
	ahead := viewTarget.workAhead(request.Priority)
	work := request.work(cached)
	credited := cached
	if viewTarget == candidateSet.owner && float64(ahead.PrefillTokens) <= maxOwnerBacklogFactor*candidateSet.meanPrefillTokens {
		credited = max(credited, int(candidateSet.hitRatio.value()*float64(request.PromptTokens)))
	}
	missSeconds := float64(request.PromptTokens-credited) / viewTarget.prefillTPS
	cost := viewTarget.costSeconds(work, ahead) + missCostWeight*missSeconds - float64(credited-cached)/viewTarget.prefillTPS
	return candidate{target: viewTarget, cachedTokens: cached, work: work, workAhead: ahead, costSeconds: cost}
}

// collectCandidates scans the pool once, starting at a random target.
func (costPicker *CostPicker) collectCandidates(candidateSet *candidateSet, pool []*viewTarget, request *Request, accepts func(*viewTarget) bool) {
	prefixHash, lastBlock := prefixAffinity(request.BlockHashes)
	owners := owners{prefixHash: prefixHash}
	var holders holders
	accepted, prefillBacklog := 0, int64(0)
	start := int(costPicker.randSource() % uint64(len(pool)))
	for i := range pool {
		viewTarget := pool[(start+i)%len(pool)]
		if request.excludes(viewTarget.target.ID) || !accepts(viewTarget) {
			continue
		}
		accepted++
		prefillBacklog += viewTarget.backlog().PrefillTokens
		if accepted <= randomCandidates {
			candidateSet.add(viewTarget)
		}
		if prefixHash != 0 {
			owners.consider(viewTarget)
			holders.consider(viewTarget, lastBlock)
		}
	}
	candidateSet.meanPrefillTokens = float64(prefillBacklog) / float64(max(1, accepted))
	candidateSet.addOwners(&owners)
	candidateSet.addHolders(&holders)
}

// sampleByWeight accepts a target with the probability of its weight, so that one
// that returns from ejection gets only a share of its normal traffic.
func (costPicker *CostPicker) sampleByWeight(viewTarget *viewTarget) bool {
	const unit = 1 << 32
	return viewTarget.weight >= 1 || float64(costPicker.randSource()%unit) < viewTarget.weight*unit
}

func acceptAny(*viewTarget) bool {
	return true
}

func newChoice(viewTarget *viewTarget, request *Request, work, ahead Work) Choice {
	return Choice{
		Target:       viewTarget.target,
		Work:         work,
		Priority:     request.Priority,
		ExpectedTTFT: time.Duration(viewTarget.secondsToFirstToken(work, ahead) * float64(time.Second)),
		state:        &choiceState{target: viewTarget.targetState, promptTokens: request.PromptTokens},
	}
}

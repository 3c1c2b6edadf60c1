package node_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// soakLinks are the links of one instance to the targets. The instance knows the targets
// by the addresses of these links.
type soakLinks struct {
	t      *testing.T
	dialed func(connection string) // see newWatchedLink

	mutex sync.Mutex
	links map[string]*link // by address of the target
	order []*link          // as they were made
}

func newSoakLinks(t *testing.T, dialed func(connection string)) *soakLinks {
	return &soakLinks{t: t, dialed: dialed, links: map[string]*link{}}
}

// address returns the address of the link to a target. Targets that start again at an
// address keep their link.
func (links *soakLinks) address(target string) string {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.links[target] == nil {
		links.links[target] = newWatchedLink(links.t, target, links.dialed)
		links.order = append(links.order, links.links[target])
	}
	return links.links[target].address.String()
}

// disturb applies a fault to a random part of the links for some time.
func (links *soakLinks) disturb(random *rand.Rand, fault linkFault, length time.Duration) {
	links.mutex.Lock()
	var disturbed []*link
	for _, link := range links.order {
		if random.IntN(3) > 0 {
			disturbed = append(disturbed, link)
		}
	}
	links.mutex.Unlock()
	for _, link := range disturbed {
		link.cut(fault)
	}
	time.Sleep(length)
	for _, link := range disturbed {
		link.heal()
	}
}

package node

import (
	"sync"
	"time"
)

// storeContacts keeps from when on the store has served the other instances without a
// break. Its methods may be called by several goroutines.
type storeContacts struct {
	mutex  sync.Mutex
	steady map[string]time.Time // by instance
}

// update replaces what is known of an instance. A length of 0 stands for one that the
// store does not serve, or that does not tell.
func (contacts *storeContacts) update(instance string, steady time.Duration) {
	contacts.mutex.Lock()
	defer contacts.mutex.Unlock()
	if steady <= 0 {
		delete(contacts.steady, instance)
		return
	}
	if contacts.steady == nil {
		contacts.steady = map[string]time.Time{}
	}
	contacts.steady[instance] = time.Now().Add(-steady)
}

// remove forgets an instance that is down.
func (contacts *storeContacts) remove(instance string) { contacts.update(instance, 0) }

// servedSince reports whether the store has served another instance without a break since
// a time.
func (contacts *storeContacts) servedSince(since time.Time) bool {
	contacts.mutex.Lock()
	defer contacts.mutex.Unlock()
	for _, steady := range contacts.steady {
		if steady.Before(since) {
			return true
		}
	}
	return false
}

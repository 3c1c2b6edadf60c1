package usage

// sharedLock lets up to cap(slots) copies run concurrently, and a resync only
// on its own.
type sharedLock struct {
	slots     chan struct{}
	exclusive chan struct{}
}

func newSharedLock(copies int) sharedLock {
	return sharedLock{slots: make(chan struct{}, copies), exclusive: make(chan struct{}, 1)}
}

func (lock sharedLock) lockShared() { lock.slots <- struct{}{} }

func (lock sharedLock) unlockShared() { <-lock.slots }

// lockExclusive waits until all shared holders have unlocked.
func (lock sharedLock) lockExclusive() {
	lock.exclusive <- struct{}{}
	for range cap(lock.slots) {
		lock.lockShared()
	}
}

func (lock sharedLock) unlockExclusive() {
	for range cap(lock.slots) {
		lock.unlockShared()
	}
	<-lock.exclusive
}

package usage

// gate lets copies pass at the same time, and a change of holder alone.
type gate struct {
	copies chan struct{}
	change chan struct{}
}

func newGate(copies int) gate {
	return gate{copies: make(chan struct{}, copies), change: make(chan struct{}, 1)}
}

func (gate gate) enter() { gate.copies <- struct{}{} }

func (gate gate) leave() { <-gate.copies }

// enterAlone waits until all copies have left.
func (gate gate) enterAlone() {
	gate.change <- struct{}{}
	for range cap(gate.copies) {
		gate.enter()
	}
}

func (gate gate) leaveAlone() {
	for range cap(gate.copies) {
		gate.leave()
	}
	<-gate.change
}

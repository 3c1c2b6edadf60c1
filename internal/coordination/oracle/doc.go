// Package oracle contains only tests. They run the coordination code of several
// instances against a simulated network, store, platform and targets, and
// compare its behaviour with a simple model that shares no code with it.
//
// TestMachine generates random programs of faults and operations, runs them in
// virtual time, and checks the invariants of the model after each step. The
// seed is fixed. To run it longer and with another seed:
//
//	go test ./internal/coordination/oracle -run TestMachine \
//	    -rapid.checks 5000 -rapid.seed 7 -timeout 1h
//
// TestFaults runs each operation with every fault at every step and compares
// the outcomes with docs/FAULTS.md. To write that page:
//
//	go test ./internal/coordination/oracle -run TestFaults -args -update
package oracle

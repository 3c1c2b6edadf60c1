// Package oracle holds no code of the program. Its tests run the real
// coordination code of several instances over fakes and compare what it does
// with a plain model that shares no code with it.
//
// TestMachine draws a program of faults and operations, runs it in virtual
// time, and checks the model after each step. The seed is fixed. A longer run
// with another seed is
//
//	go test ./internal/coordination/oracle -run TestMachine \
//	    -rapid.checks 5000 -rapid.seed 7 -timeout 1h
//
// TestFaults runs each operation with every fault at every step and compares
// the outcomes with docs/FAULTS.md, which it writes when run as
//
//	go test ./internal/coordination/oracle -run TestFaults -args -update
package oracle

package front_test

import (
	"net/http/httptest"
	"testing"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/transport/front"
)

// The run status of an error may differ from that of its code. Guards against a status that
// promises that a request has not run beside a header that says it may have (REFUSED).
func TestStatusOfErrorPromisesNoMoreThanItsRunStatus(t *testing.T) {
	for _, definition := range code.Definitions() {
		for _, run := range []code.RunStatus{code.NotRun, code.RunUnknown, code.Ran} {
			recorder := httptest.NewRecorder()
			front.WriteError(recorder, code.WithRunStatus(code.Errorf(definition.Code, "test"), run))
			if code.PromisesNotRun(recorder.Code) && run != code.NotRun {
				t.Errorf("WriteError(%v, %v) has status %d, which promises that the request has not run", definition.Code, run, recorder.Code)
			}
		}
	}
}

package roster_test

import (
	"errors"
	"testing"

	"github.com/rs/zerolog"

	"mangopier.example/mangopier/internal/protocol/site"
	"mangopier.example/mangopier/internal/state/roster"
	"mangopier.example/mangopier/internal/state/table"
)

func decode(id string, value []byte) (site.Target, error) {
	if string(value) == "bad" {
		return site.Target{}, errors.New("malformed row")
	}
	return site.Target{ID: id, Service: "s", Address: string(value)}, nil
}

func TestApplyUpdatesTargets(t *testing.T) {
	var names string
	calls := 0
	list := roster.New(decode, func(targets []site.Target) {
		calls++
		names = ""
		for _, target := range targets {
			names += target.ID + "@" + target.Address + " "
		}
	}, zerolog.Nop())
	if list.Loaded() {
		t.Error("Loaded() before the first Apply = true, want false")
	}
	list.Apply(nil)
	if !list.Loaded() || calls != 1 {
		t.Errorf("after an empty list: Loaded() = %t, calls of onChange = %d, want true, 1", list.Loaded(), calls)
	}
	list.Apply([]table.Change{{Key: "b", Value: []byte("2")}, {Key: "a", Value: []byte("1")}, {Key: "c", Value: []byte("bad")}})
	if names != "a@1 b@2 " {
		t.Errorf("targets after the list = %q, want %q", names, "a@1 b@2 ")
	}
	list.Apply([]table.Change{{Key: "a", Value: []byte("bad")}, {Key: "b", Deleted: true}, {Key: "d", Value: []byte("4")}})
	if names != "d@4 " {
		t.Errorf("targets after a malformed row, a deletion and an addition = %q, want %q", names, "d@4 ")
	}
	list.Apply(nil)
	if calls != 3 {
		t.Errorf("calls of onChange after an empty change = %d, want 3", calls)
	}
}

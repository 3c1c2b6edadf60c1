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
		return site.Target{}, errors.New("cannot be read")
	}
	return site.Target{ID: id, Service: "s", Address: string(value)}, nil
}

func TestRosterFollowsChanges(t *testing.T) {
	var names string
	calls := 0
	subject := roster.New(decode, func(targets []site.Target) {
		calls++
		names = ""
		for _, target := range targets {
			names += target.ID + "@" + target.Address + " "
		}
	}, zerolog.Nop())
	if subject.Listed() {
		t.Error("listed before any list")
	}
	subject.Apply(nil)
	if !subject.Listed() || calls != 1 {
		t.Error("an empty list is a list")
	}
	subject.Apply([]table.Change{{Key: "b", Value: []byte("2")}, {Key: "a", Value: []byte("1")}, {Key: "c", Value: []byte("bad")}})
	if names != "a@1 b@2 " {
		t.Errorf("after the list %q", names)
	}
	subject.Apply([]table.Change{{Key: "a", Value: []byte("bad")}, {Key: "b", Deleted: true}, {Key: "d", Value: []byte("4")}})
	if names != "d@4 " {
		t.Errorf("a row that becomes unreadable names no target: %q", names)
	}
	subject.Apply(nil)
	if calls != 3 {
		t.Errorf("%d calls", calls)
	}
}

package roster_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

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

// A store that was restored from a copy lists rows of before. Guards against using a target
// again that leaves or has gone, and against keeping one out that was restarted or came back.
func TestOutdatedRowsOfRunAreIgnored(t *testing.T) {
	decodeRun := func(id string, value []byte) (site.Target, error) {
		var started, revision int64
		var draining bool
		if _, err := fmt.Sscan(string(value), &started, &revision, &draining); err != nil {
			return site.Target{}, err
		}
		return site.Target{ID: id, Started: time.UnixMilli(started), Revision: revision, Draining: draining}, nil
	}
	const gone = "gone"
	tests := []struct {
		name string
		rows []string // started, revision, draining; or gone
		want string   // started and draining, or gone
	}{
		{"older row of a leaving run", []string{"100 7 true", "100 4 false"}, "100 true"},
		{"same row again", []string{"100 7 true", "100 7 true"}, "100 true"},
		{"newer row", []string{"100 7 false", "100 8 true"}, "100 true"},
		{"row of a run that has gone", []string{"100 7 false", gone, "100 7 false"}, gone},
		{"older row of a run that has gone", []string{"100 7 true", gone, "100 3 false"}, gone},
		{"run whose row had expired", []string{"100 7 false", gone, "100 8 false"}, "100 false"},
		{"restart under the same ID", []string{"100 7 true", "200 1 false"}, "200 false"},
		{"restart after the row was removed", []string{"100 7 false", gone, "200 1 false"}, "200 false"},
		{"rows without revisions", []string{"100 0 true", "100 0 false"}, "100 false"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			list := roster.New(decodeRun, func(targets []site.Target) {
				got = gone
				for _, target := range targets {
					got = fmt.Sprint(target.Started.UnixMilli(), target.Draining)
				}
			}, zerolog.Nop())
			for i, row := range test.rows {
				list.Apply([]table.Change{{Key: "a", Value: []byte(row), Version: uint64(i), Deleted: row == gone}})
			}
			if got != test.want {
				t.Errorf("target after the rows %q = %q, want %q", test.rows, got, test.want)
			}
		})
	}
}

package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/state/memory"
	"mangopier.example/mangopier/internal/state/table"
)

// restoredTable is a table that can be restored from a copy, in a new era. Its versions are
// then given out again.
type restoredTable struct {
	mutex   sync.Mutex
	era     uint64
	client  *memory.Client
	commits [][]table.Write // since the beginning of the copy that is in use
	down    bool
}

func newRestoredTable() *restoredTable {
	return &restoredTable{era: 1, client: memory.New().Client("any")}
}

func (restored *restoredTable) Get(ctx context.Context, key string) (table.Row, error) {
	restored.mutex.Lock()
	defer restored.mutex.Unlock()
	if restored.down {
		return table.Row{}, code.Errorf(code.StoreDown, "down")
	}
	return restored.client.Get(ctx, key)
}

func (restored *restoredTable) Commit(ctx context.Context, writes ...table.Write) error {
	restored.mutex.Lock()
	defer restored.mutex.Unlock()
	if restored.down {
		return code.Errorf(code.StoreDown, "down")
	}
	err := restored.client.Commit(ctx, writes...)
	if err == nil {
		restored.commits = append(restored.commits, slices.Clone(writes))
	}
	return err
}

func (restored *restoredTable) update(change func()) {
	restored.mutex.Lock()
	defer restored.mutex.Unlock()
	change()
}

// restore takes back all but the first commits.
func (restored *restoredTable) restore(t *testing.T, commits int) {
	t.Helper()
	restored.update(func() {
		restored.era++
		restored.commits = restored.commits[:commits]
		restored.client = memory.New().Client("any")
		for _, writes := range restored.commits {
			if err := restored.client.Commit(context.Background(), writes...); err != nil {
				t.Errorf("commit of the copy: %v", err)
			}
		}
	})
}

// connection is the path of one process to the table. The process learns the era from the
// responses that it gets.
type connection struct {
	table *restoredTable

	mutex sync.Mutex
	era   uint64
	cut   bool
}

func (connection *connection) Era() uint64 {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.era
}

func (connection *connection) isCut() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.cut
}

func (connection *connection) setCut(cut bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.cut = cut
}

func (connection *connection) learn() {
	connection.table.mutex.Lock()
	era := connection.table.era
	connection.table.mutex.Unlock()
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.era = era
}

func (connection *connection) Get(ctx context.Context, key string) (table.Row, error) {
	if connection.isCut() {
		return table.Row{}, code.Errorf(code.StoreDown, "cut off")
	}
	row, err := connection.table.Get(ctx, key)
	connection.learn()
	return row, err
}

func (connection *connection) Commit(ctx context.Context, writes ...table.Write) error {
	if connection.isCut() {
		return code.Errorf(code.StoreDown, "cut off")
	}
	err := connection.table.Commit(ctx, writes...)
	connection.learn()
	return err
}

// The table is restored from copies of any age, also two in a row, during takeovers, while a
// process is cut off from it or has just started. Guards against an epoch, which is the fencing
// token of orders, that two holders have or that goes down (ONE), against two holders at a
// time, and against a lease that nobody takes any more.
func TestRestoresNeverGiveEpochOutAgain(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRestores(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func playRestores(t *testing.T, random *rand.Rand) {
	t.Helper()
	const processes = 3
	restored := newRestoredTable()
	connections, running := make([]*connection, processes), make([]*process, processes)
	launch := func(i int, first bool) {
		connections[i] = &connection{table: restored}
		running[i] = start(connections[i], fmt.Sprint("p", i), random.Uint64(), lease.WithEra(connections[i].Era), lease.WithFirstStart(first))
	}
	for i := range processes {
		launch(i, true)
	}
	holders, highest := map[uint64]string{}, uint64(0)
	check := func() {
		held := 0
		for i, process := range running {
			grant, ok := process.lease.Held()
			if !ok {
				continue
			}
			held++
			name := fmt.Sprint("p", i)
			if before, known := holders[grant.Epoch]; known && before != name {
				t.Errorf("epoch %d is held by %s and then by %s", grant.Epoch, before, name)
			}
			if grant.Epoch < highest {
				t.Errorf("epoch %d of %s follows on %d", grant.Epoch, name, highest)
			}
			holders[grant.Epoch], highest = name, max(highest, grant.Epoch)
		}
		if held > 1 {
			t.Errorf("%d holders at a time, want one at most", held)
		}
	}
	pass := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
			check()
		}
	}
	pass(leaseDuration)
	for range 8 {
		switch i := random.IntN(processes); random.IntN(4) {
		case 0, 1:
			restored.update(func() { restored.down = true })
			pass(time.Duration(random.Int64N(int64(leaseDuration))))
			restored.restore(t, random.IntN(len(restored.commits)+1))
			restored.update(func() { restored.down = false })
		case 2:
			connections[i].setCut(true)
			pass(time.Duration(random.Int64N(int64(2 * leaseDuration))))
			connections[i].setCut(false)
		case 3:
			running[i].shutDown()
			launch(i, false)
		}
		pass(time.Duration(random.Int64N(int64(2 * leaseDuration))))
	}
	pass(4 * leaseDuration)
	if !slices.ContainsFunc(running, isHolder) {
		t.Error("nobody holds the lease four lease durations after the last restore")
	}
	for _, process := range running {
		process.shutDown()
	}
}

// A process starts for the first time of the site beside others: the first holder takes the
// lease at once. One that starts later finds no rows, since the table was restored, and has to
// wait for a holder that it does not know.
func TestMissingRowsMeanNoHolderAtFirstStartOnly(t *testing.T) {
	for name, firstStart := range map[string]bool{"first start": true, "later start": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				restored := newRestoredTable()
				connection := &connection{table: restored}
				process := start(connection, "p", 1, lease.WithEra(connection.Era), lease.WithFirstStart(firstStart))
				defer process.shutDown()
				time.Sleep(leaseDuration / 2)
				if isHolder(process) != firstStart {
					t.Errorf("process holds the lease after half a lease duration = %t, want %t", isHolder(process), firstStart)
				}
				time.Sleep(leaseDuration)
				grant, ok := process.lease.Held()
				if !ok || grant.First != firstStart {
					t.Errorf("grant = %+v, %t, want one with First = %t", grant, ok, firstStart)
				}
			})
		})
	}
}

// The first era of the table is 0. Guards against a restore that is taken for the first answer,
// after which the holder renews its lease and never acts again.
func TestRestoreOfFirstEraZeroIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restored := newRestoredTable()
		restored.era = 0
		connection := &connection{table: restored}
		process := start(connection, "p", 1, lease.WithEra(connection.Era))
		defer process.shutDown()
		time.Sleep(leaseDuration)
		first, ok := process.lease.Held()
		if !ok {
			t.Fatal("lease.Held() = false before the restore, want true")
		}
		restored.restore(t, len(restored.commits))
		time.Sleep(4 * leaseDuration)
		if grant, ok := process.lease.Held(); !ok || grant.Epoch <= first.Epoch || grant.Era != 1 {
			t.Errorf("lease.Held() = %+v, %t after the restore, want an epoch above %d in era 1", grant, ok, first.Epoch)
		}
	})
}

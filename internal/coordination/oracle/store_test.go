package oracle_test

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"mangopier.example/mangopier/internal/coordination/gossip"
	"mangopier.example/mangopier/internal/coordination/lease"
	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/peerpb"
	"mangopier.example/mangopier/internal/state/table"
)

// rows is the store as seen by one instance. The instance may be paused before
// each call and before its answer.
type rows struct{ life *life }

func pass[T any](life *life, step string, call func() (T, error)) (T, error) {
	life.step("before " + step)
	if err := life.gate(); err != nil {
		var none T
		return none, err
	}
	result, err := call()
	life.step("after " + step)
	if gate := life.gate(); gate != nil {
		return result, code.Errorf(code.WriteUnknown, "%s is killed", life.id)
	}
	return result, err
}

func (rows *rows) Get(ctx context.Context, key string) (table.Row, error) {
	return pass(rows.life, "get "+rowOf(key), func() (table.Row, error) { return rows.life.client.Get(ctx, key) })
}

func (rows *rows) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return pass(rows.life, "list "+rowOf(prefix), func() ([]table.Row, error) { return rows.life.client.List(ctx, prefix, after, limit) })
}

func (rows *rows) Commit(ctx context.Context, writes ...table.Write) error {
	_, err := pass(rows.life, "commit "+rowOf(writes[0].Key), func() (struct{}, error) { return struct{}{}, rows.life.client.Commit(ctx, writes...) })
	return err
}

func (rows *rows) Put(ctx context.Context, key string, data []byte) error {
	_, err := pass(rows.life, "put "+rowOf(key), func() (struct{}, error) { return struct{}{}, rows.life.client.Put(ctx, key, data) })
	return err
}

func (rows *rows) Fetch(ctx context.Context, key string) ([]byte, error) {
	return pass(rows.life, "fetch "+rowOf(key), func() ([]byte, error) { return rows.life.client.Fetch(ctx, key) })
}

// rowOf returns the kind of a row.
func rowOf(key string) string {
	parts := strings.Split(key, "/")
	return strings.Join(parts[:min(len(parts), 2)], "/")
}

// link is the network as seen by one instance.
type link struct{ life *life }

// reach returns the instance at an address. A cut network is silent, and so is
// a paused instance until it goes on.
func (link *link) reach(ctx context.Context, address string) (*life, error) {
	if err := link.life.gate(); err != nil {
		return nil, err
	}
	world := link.life.world
	world.mu.Lock()
	peer := world.find(address)
	open := peer != nil && world.reaches(link.life.id, peer.id)
	world.mu.Unlock()
	if peer == nil || peer.dead() {
		return nil, code.Errorf(code.PeerUnreachable, "%s refuses", address)
	}
	if !open {
		<-ctx.Done()
		return nil, code.Errorf(code.PeerUnreachable, "%s is silent", address)
	}
	if err := peer.arrive(ctx); err != nil {
		return nil, err
	}
	return peer, nil
}

// arrive waits until the instance takes a message or the sender gives up.
func (life *life) arrive(ctx context.Context) error {
	taken := make(chan error, 1)
	go func() { taken <- life.listen() }()
	select {
	case err := <-taken:
		return err
	case <-ctx.Done():
		return code.Errorf(code.PeerUnreachable, "%s is silent", life.id)
	}
}

func (link *link) List(context.Context) ([]gossip.Instance, error) {
	return pass(link.life, "message", func() ([]gossip.Instance, error) { return link.life.world.list(), nil })
}

func (link *link) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	peer, err := link.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return pass(link.life, "message", func() (*peerpb.State, error) {
		reply, err := peer.members.HandleExchange(ctx, proto.CloneOf(state))
		return proto.CloneOf(reply), err
	})
}

func (link *link) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	peer, err := link.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	return pass(link.life, "message", func() (*peerpb.FetchNoteReply, error) { return peer.feed.FetchNote(ctx, request) })
}

// authority is the lease as seen by the issuer, which may be paused right
// after it looked.
type authority struct {
	life  *life
	lease *lease.Lease
}

func (authority *authority) Held() (lease.Grant, bool) {
	grant, held := authority.lease.Held()
	_ = authority.life.gate()
	return grant, held
}

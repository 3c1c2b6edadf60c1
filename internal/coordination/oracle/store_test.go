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

// faultyStore is the store as seen by one instance. The instance may be paused
// before each call and before its response.
type faultyStore struct{ instance *instance }

// runStep runs one step of an instance. It records the step before and after the
// call and waits each time while the instance is paused. It returns an error if
// the instance has been killed.
func runStep[T any](instance *instance, step string, call func() (T, error)) (T, error) {
	instance.recordStep("before " + step)
	if err := instance.waitToRun(); err != nil {
		var none T
		return none, err
	}
	result, err := call()
	instance.recordStep("after " + step)
	if killed := instance.waitToRun(); killed != nil {
		return result, code.Errorf(code.WriteUnknown, "%s is killed", instance.id)
	}
	return result, err
}

func (faultyStore *faultyStore) Get(ctx context.Context, key string) (table.Row, error) {
	return runStep(faultyStore.instance, "get "+rowKind(key), func() (table.Row, error) { return faultyStore.instance.client.Get(ctx, key) })
}

func (faultyStore *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	return runStep(faultyStore.instance, "list "+rowKind(prefix), func() ([]table.Row, error) { return faultyStore.instance.client.List(ctx, prefix, after, limit) })
}

func (faultyStore *faultyStore) Commit(ctx context.Context, writes ...table.Write) error {
	_, err := runStep(faultyStore.instance, "commit "+rowKind(writes[0].Key), func() (struct{}, error) { return struct{}{}, faultyStore.instance.client.Commit(ctx, writes...) })
	return err
}

func (faultyStore *faultyStore) Put(ctx context.Context, key string, data []byte) error {
	_, err := runStep(faultyStore.instance, "put "+rowKind(key), func() (struct{}, error) { return struct{}{}, faultyStore.instance.client.Put(ctx, key, data) })
	return err
}

func (faultyStore *faultyStore) Fetch(ctx context.Context, key string) ([]byte, error) {
	return runStep(faultyStore.instance, "fetch "+rowKind(key), func() ([]byte, error) { return faultyStore.instance.client.Fetch(ctx, key) })
}

// rowKind returns the first two parts of a key, as the name of a step.
func rowKind(key string) string {
	parts := strings.Split(key, "/")
	return strings.Join(parts[:min(len(parts), 2)], "/")
}

// faultyNetwork is the network as seen by one instance.
type faultyNetwork struct{ instance *instance }

// findPeer returns the instance at an address once it can receive a message. A
// cut link and a paused instance do not respond until ctx is done, and a killed
// instance refuses connections.
func (faultyNetwork *faultyNetwork) findPeer(ctx context.Context, address string) (*instance, error) {
	if err := faultyNetwork.instance.waitToRun(); err != nil {
		return nil, err
	}
	simulator := faultyNetwork.instance.simulator
	simulator.mu.Lock()
	peer := simulator.findInstance(address)
	connected := peer != nil && simulator.connected(faultyNetwork.instance.id, peer.id)
	simulator.mu.Unlock()
	if peer == nil || peer.isKilled() {
		return nil, code.Errorf(code.PeerUnreachable, "%s refuses connections", address)
	}
	if !connected {
		<-ctx.Done()
		return nil, code.Errorf(code.PeerUnreachable, "%s does not respond", address)
	}
	if err := peer.acceptMessage(ctx); err != nil {
		return nil, err
	}
	return peer, nil
}

// acceptMessage waits until the instance receives a message or ctx, that of the
// sender, is done.
func (instance *instance) acceptMessage(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- instance.waitToReceive() }()
	select {
	case err := <-received:
		return err
	case <-ctx.Done():
		return code.Errorf(code.PeerUnreachable, "%s does not respond", instance.id)
	}
}

func (faultyNetwork *faultyNetwork) List(context.Context) ([]gossip.Instance, error) {
	return runStep(faultyNetwork.instance, "message", func() ([]gossip.Instance, error) { return faultyNetwork.instance.simulator.platformList(), nil })
}

func (faultyNetwork *faultyNetwork) Exchange(ctx context.Context, address string, state *peerpb.State) (*peerpb.State, error) {
	peer, err := faultyNetwork.findPeer(ctx, address)
	if err != nil {
		return nil, err
	}
	return runStep(faultyNetwork.instance, "message", func() (*peerpb.State, error) {
		reply, err := peer.members.HandleExchange(ctx, proto.CloneOf(state))
		return proto.CloneOf(reply), err
	})
}

func (faultyNetwork *faultyNetwork) FetchNote(ctx context.Context, address string, request *peerpb.FetchNoteRequest) (*peerpb.FetchNoteReply, error) {
	peer, err := faultyNetwork.findPeer(ctx, address)
	if err != nil {
		return nil, err
	}
	return runStep(faultyNetwork.instance, "message", func() (*peerpb.FetchNoteReply, error) { return peer.feed.FetchNote(ctx, request) })
}

// issuerLease is the lease as seen by the issuer. The instance may be paused
// between the check of the lease and the use of its result.
type issuerLease struct {
	instance *instance
	lease    *lease.Lease
}

func (issuerLease *issuerLease) Held() (lease.Grant, bool) {
	grant, held := issuerLease.lease.Held()
	_ = issuerLease.instance.waitToRun()
	return grant, held
}

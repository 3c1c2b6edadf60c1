package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/engine"
)

const maxReports = 64

func (fake *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.MarshalWrite(w, fake.report())
}

// report returns the newest report that is at least as old as the lag, or the
// present one where there is none yet.
func (fake *Engine) report() engine.LoadReport {
	running, queued := fake.slots.running(), fake.slots.queued()
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.sequence++
	now := time.Now()
	fake.reports = append(fake.reports, engine.LoadReport{
		Target: fake.config.ID, MeasuredAtUnixMS: now.UnixMilli(), Sequence: fake.sequence,
		Incarnation:     strconv.Itoa(fake.incarnation),
		RunningRequests: running, QueuedRequests: queued,
		PrefillTokens: fake.prefillLeft, DecodeTokens: fake.decodeLeft,
		TotalPrefillTokens: fake.prefillSum, TotalDecodeTokens: fake.decodeSum,
		Role: fake.role, Models: fake.models, Adapters: fake.adapters,
		MaxFencingToken: fake.fence, LastOrderNumber: fake.lastOrder, OrderInProgress: fake.changing, Draining: fake.draining,
	})
	if len(fake.reports) > maxReports {
		fake.reports = fake.reports[1:]
	}
	found := 0
	for i, report := range fake.reports {
		if now.Sub(time.UnixMilli(report.MeasuredAtUnixMS)) >= fake.config.LoadLag {
			found = i
		}
	}
	return fake.reports[found]
}

func (fake *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuseNotRun(w, http.StatusBadRequest, "after is not a number")
		return
	}
	_ = json.MarshalWrite(w, fake.cache.eventsAfter(after))
}

func (fake *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if cancel, ok := fake.cancels[r.Header.Get(engine.HeaderAttemptID)]; ok {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (fake *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.UnmarshalRead(r.Body, &order); err != nil {
		refuseNotRun(w, http.StatusBadRequest, "order cannot be read")
		return
	}
	reply := fake.takeOrder(order)
	reply.Incarnation = fake.life()
	if !reply.Accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.MarshalWrite(w, reply)
}

func (fake *Engine) life() string {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return strconv.Itoa(fake.incarnation)
}

func (fake *Engine) takeOrder(order engine.Order) engine.OrderReply {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if !fake.config.IgnoresFence {
		if order.FencingToken < fake.fence {
			return engine.OrderReply{MaxFencingToken: fake.fence, Reason: "old fencing number"}
		}
		fake.fence = order.FencingToken
	}
	if order.Number == fake.lastOrder && order.Number != 0 {
		return engine.OrderReply{Accepted: true, MaxFencingToken: fake.fence}
	}
	if fake.changing {
		return engine.OrderReply{MaxFencingToken: fake.fence, Reason: "another order is being carried out"}
	}
	fake.orders = append(fake.orders, order)
	fake.carryOut(order)
	return engine.OrderReply{Accepted: true, MaxFencingToken: fake.fence}
}

func (fake *Engine) carryOut(order engine.Order) {
	switch order.Kind {
	case engine.OrderDrain:
		fake.draining = true
		fake.lastOrder = order.Number
	case engine.OrderUndrain:
		fake.draining = false
		fake.lastOrder = order.Number
	case engine.OrderAdvanceFence:
		fake.lastOrder = order.Number
	case engine.OrderStop:
		fake.stopped = true
		fake.lastOrder = order.Number
		fake.crashAll()
	case engine.OrderChangeRole, engine.OrderLoadModel, engine.OrderLoadAdapter:
		fake.changing = true
		incarnation := fake.incarnation
		time.AfterFunc(fake.config.ChangeTime, func() { fake.finish(order, incarnation) })
	}
}

// finish completes an order unless the engine crashed meanwhile.
func (fake *Engine) finish(order engine.Order, incarnation int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if incarnation != fake.incarnation {
		return
	}
	fake.changing = false
	fake.lastOrder = order.Number
	loaded := engine.LoadedModel{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case engine.OrderChangeRole:
		fake.role = order.Role
	case engine.OrderLoadModel:
		fake.models = replaced(fake.models, loaded)
	case engine.OrderLoadAdapter:
		fake.adapters = replaced(fake.adapters, loaded)
	default:
	}
}

func replaced(list []engine.LoadedModel, item engine.LoadedModel) []engine.LoadedModel {
	next := []engine.LoadedModel{item}
	for _, other := range list {
		if other.Name != item.Name {
			next = append(next, other)
		}
	}
	return next
}

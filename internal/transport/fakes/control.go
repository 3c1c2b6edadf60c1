package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/engine"
)

// maxLoadReports bounds the history from which old load reports are served.
const maxLoadReports = 64

func (fake *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.MarshalWrite(w, fake.loadReport())
}

// loadReport records the present load and returns the newest report that is at
// least LoadReportAge old, or the oldest one if none is.
func (fake *Engine) loadReport() engine.LoadReport {
	runningRequests, queuedRequests := fake.slots.running(), fake.slots.queued()
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.reportSequence++
	now := time.Now()
	fake.loadReports = append(fake.loadReports, engine.LoadReport{
		Target: fake.config.ID, MeasuredAtUnixMS: now.UnixMilli(), Sequence: fake.reportSequence,
		Incarnation:     strconv.Itoa(fake.incarnation),
		RunningRequests: runningRequests, QueuedRequests: queuedRequests,
		PrefillTokens: fake.pendingPrefillTokens, DecodeTokens: fake.pendingDecodeTokens,
		TotalPrefillTokens: fake.totalPrefillTokens, TotalDecodeTokens: fake.totalDecodeTokens,
		Role: fake.role, Models: fake.models, Adapters: fake.adapters,
		MaxFencingToken: fake.maxFencingToken, LastOrderNumber: fake.lastOrderNumber, OrderInProgress: fake.orderInProgress, Draining: fake.draining,
	})
	if len(fake.loadReports) > maxLoadReports {
		fake.loadReports = fake.loadReports[1:]
	}
	newest := 0
	for i, report := range fake.loadReports {
		if now.Sub(time.UnixMilli(report.MeasuredAtUnixMS)) >= fake.config.LoadReportAge {
			newest = i
		}
	}
	return fake.loadReports[newest]
}

func (fake *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "after is not a number")
		return
	}
	_ = json.MarshalWrite(w, fake.cache.eventsAfter(sequence))
}

func (fake *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if cancel, ok := fake.cancelByAttempt[r.Header.Get(engine.HeaderAttemptID)]; ok {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (fake *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.UnmarshalRead(r.Body, &order); err != nil {
		writeRefusal(w, http.StatusBadRequest, "order cannot be read")
		return
	}
	reply := fake.acceptOrder(order)
	reply.Incarnation = fake.currentIncarnation()
	if !reply.Accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.MarshalWrite(w, reply)
}

func (fake *Engine) currentIncarnation() string {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return strconv.Itoa(fake.incarnation)
}

// acceptOrder checks the fencing token before anything else. A repeat of the last
// completed order is accepted without running it again.
func (fake *Engine) acceptOrder(order engine.Order) engine.OrderReply {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if !fake.config.IgnoresFencingToken {
		if order.FencingToken < fake.maxFencingToken {
			return engine.OrderReply{MaxFencingToken: fake.maxFencingToken, Reason: "old fencing number"}
		}
		fake.maxFencingToken = order.FencingToken
	}
	if order.Number == fake.lastOrderNumber && order.Number != 0 {
		return engine.OrderReply{Accepted: true, MaxFencingToken: fake.maxFencingToken}
	}
	if fake.orderInProgress {
		return engine.OrderReply{MaxFencingToken: fake.maxFencingToken, Reason: "another order is being carried out"}
	}
	fake.acceptedOrders = append(fake.acceptedOrders, order)
	fake.executeOrder(order)
	return engine.OrderReply{Accepted: true, MaxFencingToken: fake.maxFencingToken}
}

func (fake *Engine) executeOrder(order engine.Order) {
	switch order.Kind {
	case engine.OrderDrain:
		fake.draining = true
		fake.lastOrderNumber = order.Number
	case engine.OrderUndrain:
		fake.draining = false
		fake.lastOrderNumber = order.Number
	case engine.OrderAdvanceFence:
		fake.lastOrderNumber = order.Number
	case engine.OrderStop:
		fake.stopped = true
		fake.lastOrderNumber = order.Number
		fake.cancelCrashCtx()
	case engine.OrderChangeRole, engine.OrderLoadModel, engine.OrderLoadAdapter:
		fake.orderInProgress = true
		incarnation := fake.incarnation
		time.AfterFunc(fake.config.OrderDuration, func() { fake.completeOrder(order, incarnation) })
	}
}

// completeOrder puts an order into effect, unless the engine has crashed since it
// accepted the order.
func (fake *Engine) completeOrder(order engine.Order, incarnation int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if incarnation != fake.incarnation {
		return
	}
	fake.orderInProgress = false
	fake.lastOrderNumber = order.Number
	loaded := engine.LoadedModel{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case engine.OrderChangeRole:
		fake.role = order.Role
	case engine.OrderLoadModel:
		fake.models = replaceByName(fake.models, loaded)
	case engine.OrderLoadAdapter:
		fake.adapters = replaceByName(fake.adapters, loaded)
	default:
	}
}

func replaceByName(models []engine.LoadedModel, replacement engine.LoadedModel) []engine.LoadedModel {
	replaced := []engine.LoadedModel{replacement}
	for _, model := range models {
		if model.Name != replacement.Name {
			replaced = append(replaced, model)
		}
	}
	return replaced
}

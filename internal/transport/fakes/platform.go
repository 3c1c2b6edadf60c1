package fakes

import (
	"context"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/code"
	"mangopier.example/mangopier/internal/protocol/infra"
	"mangopier.example/mangopier/internal/state/memory"
)

// Platform is a fake of the platform: it serves the table, the object store, the
// lists of instances and targets, orders for targets and usage reports.
type Platform struct {
	// Store holds the table and the objects. Its injected faults apply to both.
	Store *memory.Store
	// StartTarget starts one target of an order. Its error becomes the reason
	// for which the order is refused. Without it, all starts are refused.
	StartTarget func(order infra.TargetOrder) (infra.Target, error)
	// StopTarget stops a target by ID; it is optional.
	StopTarget func(id string)

	mu                 sync.Mutex
	instances          map[string]infra.Instance
	targets            map[string]infra.Target
	orders             map[orderKey]orderRecord
	orderLog           []infra.TargetOrder
	usageReports       map[string][]byte
	maxInstanceListAge time.Duration
	servedInstances    infra.InstanceList
	servedInstancesAt  time.Time
}

type orderKey struct {
	dataCenter string
	number     uint64
}

type orderRecord struct {
	order infra.TargetOrder
	reply infra.TargetOrderReply
}

// NewPlatform returns a platform with empty lists.
func NewPlatform() *Platform {
	return &Platform{
		Store:        memory.New(),
		instances:    map[string]infra.Instance{},
		targets:      map[string]infra.Target{},
		orders:       map[orderKey]orderRecord{},
		usageReports: map[string][]byte{},
	}
}

// SetInstance adds an instance to the list or replaces it.
func (platform *Platform) SetInstance(instance infra.Instance) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.instances[instance.ID] = instance
}

// SetTarget adds a target to the list or replaces it.
func (platform *Platform) SetTarget(target infra.Target) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.targets[target.ID] = target
}

// SetMaxInstanceListAge sets how old the served list of instances may be.
func (platform *Platform) SetMaxInstanceListAge(age time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.maxInstanceListAge = age
}

// UsageReports returns the bodies of the usage reports by report number.
func (platform *Platform) UsageReports() map[string][]byte {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	reports := map[string][]byte{}
	for number, body := range platform.usageReports {
		reports[number] = body
	}
	return reports
}

// TargetOrders returns the orders that were processed, oldest first and without
// repeats, including those whose targets could not be started.
func (platform *Platform) TargetOrders() []infra.TargetOrder {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return append([]infra.TargetOrder(nil), platform.orderLog...)
}

// Handler returns the HTTP handler of the platform's interfaces.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+infra.PathRow, platform.serveRow)
	mux.HandleFunc("GET "+infra.PathRows, platform.serveRows)
	mux.HandleFunc("POST "+infra.PathCommit, platform.serveCommit)
	mux.HandleFunc("GET "+infra.PathObjects+"{key...}", platform.serveGetObject)
	mux.HandleFunc("PUT "+infra.PathObjects+"{key...}", platform.servePutObject)
	mux.HandleFunc("GET "+infra.PathInstances, platform.serveInstances)
	mux.HandleFunc("GET "+infra.PathTargets, platform.serveTargets)
	mux.HandleFunc("POST "+infra.PathOrders, platform.serveOrder)
	mux.HandleFunc("POST "+infra.PathUsage, platform.serveUsage)
	return mux
}

func (platform *Platform) storeClient(r *http.Request) *memory.Client {
	return platform.Store.Client(r.RemoteAddr)
}

func (platform *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := platform.storeClient(r).Get(r.Context(), r.URL.Query().Get("key"))
	writeResponse(w, row, err)
}

func (platform *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		writeResponse(w, nil, code.Errorf(code.RowMalformed, "limit %q is not a positive number", query.Get("limit")))
		return
	}
	rows, err := platform.storeClient(r).List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeResponse(w, infra.RowList{Rows: rows}, err)
}

func (platform *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var request infra.CommitRequest
	if !decodeRequest(w, r, &request) {
		return
	}
	err := platform.storeClient(r).Commit(detachedContext(r), request.Writes...)
	writeResponse(w, struct{}{}, err)
}

func (platform *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := platform.storeClient(r).Fetch(r.Context(), r.PathValue("key"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (platform *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	writeResponse(w, struct{}{}, platform.storeClient(r).Put(detachedContext(r), r.PathValue("key"), data))
}

func (platform *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if time.Since(platform.servedInstancesAt) >= platform.maxInstanceListAge {
		platform.servedInstances = infra.InstanceList{}
		for _, instance := range platform.instances {
			platform.servedInstances.Instances = append(platform.servedInstances.Instances, instance)
		}
		platform.servedInstancesAt = time.Now()
	}
	writeResponse(w, platform.servedInstances, nil)
}

func (platform *Platform) serveTargets(w http.ResponseWriter, _ *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var list infra.TargetList
	for _, target := range platform.targets {
		list.Targets = append(list.Targets, target)
	}
	writeResponse(w, list, nil)
}

func (platform *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order infra.TargetOrder
	if !decodeRequest(w, r, &order) {
		return
	}
	reply, err := platform.acceptOrder(order)
	writeResponse(w, reply, err)
}

// acceptOrder executes an order once. A repeat with the same number gets the first
// reply, or an error if its content differs.
func (platform *Platform) acceptOrder(order infra.TargetOrder) (infra.TargetOrderReply, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	key := orderKey{dataCenter: order.DataCenter, number: order.Number}
	if record, ok := platform.orders[key]; ok {
		if !reflect.DeepEqual(record.order, order) {
			return infra.TargetOrderReply{}, code.Errorf(code.OrderRefused, "order %d was sent with other content", order.Number)
		}
		return record.reply, nil
	}
	reply := platform.executeOrder(order)
	platform.orders[key] = orderRecord{order: order, reply: reply}
	platform.orderLog = append(platform.orderLog, order)
	return reply, nil
}

func (platform *Platform) executeOrder(order infra.TargetOrder) infra.TargetOrderReply {
	reply := infra.TargetOrderReply{Accepted: true}
	for _, id := range order.StopIDs {
		platform.stopTarget(id)
	}
	for range order.StartCount {
		if err := platform.startTarget(order, &reply); err != nil {
			reply.Accepted, reply.Reason = len(reply.StartedIDs) > 0, err.Error()
			break
		}
	}
	return reply
}

func (platform *Platform) stopTarget(id string) {
	target, ok := platform.targets[id]
	if !ok {
		return
	}
	target.Lifecycle = infra.LifecycleEnded
	platform.targets[id] = target
	if platform.StopTarget != nil {
		platform.StopTarget(id)
	}
}

func (platform *Platform) startTarget(order infra.TargetOrder, reply *infra.TargetOrderReply) error {
	if platform.StartTarget == nil {
		return errors.New("no capacity")
	}
	target, err := platform.StartTarget(order)
	if err != nil {
		return err
	}
	target.StartedByOrder = true
	platform.targets[target.ID] = target
	reply.StartedIDs = append(reply.StartedIDs, target.ID)
	return nil
}

func (platform *Platform) serveUsage(w http.ResponseWriter, r *http.Request) {
	var report infra.UsageReport
	if !decodeRequest(w, r, &report) {
		return
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if body, ok := platform.usageReports[report.Number]; ok && string(body) != string(report.Body) {
		writeResponse(w, nil, code.Errorf(code.WindowFrozen, "report %s was sent with other figures", report.Number))
		return
	}
	platform.usageReports[report.Number] = report.Body
	writeResponse(w, struct{}{}, nil)
}

// detachedContext returns a context for writes, which take effect even if the
// caller disconnects.
func detachedContext(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func decodeRequest(w http.ResponseWriter, r *http.Request, dst any) bool {
	err := json.UnmarshalRead(r.Body, dst)
	if err != nil {
		writeResponse(w, nil, code.Wrap(err, code.MessageMalformed, "platform call"))
	}
	return err == nil
}

func writeResponse(w http.ResponseWriter, message any, err error) {
	if err == nil {
		_ = json.MarshalWrite(w, message)
		return
	}
	number := code.FromError(err)
	if number == code.WriteUnknown {
		// Simulates a lost response: the connection closes without one.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(code.Lookup(number).Status)
	_ = json.MarshalWrite(w, infra.ErrorResponse{Code: int(number), Message: err.Error()})
}

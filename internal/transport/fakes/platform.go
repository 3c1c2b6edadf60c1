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

// Platform is a stand-in for the platform: table, object store, lists,
// ordering of targets and usage reports.
type Platform struct {
	// Store holds the table and the objects; its faults apply to both.
	Store *memory.Store
	// Start brings up a target that was ordered, or says why it cannot.
	Start func(order infra.TargetOrder) (infra.Target, error)
	// Stop takes down a target that was ordered to stop.
	Stop func(id string)

	mu        sync.Mutex
	instances map[string]infra.Instance
	targets   map[string]infra.Target
	orders    map[orderKey]orderRecord
	log       []infra.TargetOrder
	reports   map[string][]byte
	listLag   time.Duration
	listed    infra.InstanceList
	listedAt  time.Time
}

type orderKey struct {
	dataCenter string
	number     uint64
}

type orderRecord struct {
	order infra.TargetOrder
	reply infra.TargetOrderReply
}

// NewPlatform returns a platform without instances and targets.
func NewPlatform() *Platform {
	return &Platform{
		Store:     memory.New(),
		instances: map[string]infra.Instance{},
		targets:   map[string]infra.Target{},
		orders:    map[orderKey]orderRecord{},
		reports:   map[string][]byte{},
	}
}

// SetInstance adds an instance to the list or changes it.
func (platform *Platform) SetInstance(instance infra.Instance) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.instances[instance.ID] = instance
}

// SetTarget adds a target to the list or changes it.
func (platform *Platform) SetTarget(target infra.Target) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.targets[target.ID] = target
}

// SetListLag makes the list of instances lag behind.
func (platform *Platform) SetListLag(lag time.Duration) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.listLag = lag
}

// Reports returns the usage reports by number.
func (platform *Platform) Reports() map[string][]byte {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	reports := map[string][]byte{}
	for number, body := range platform.reports {
		reports[number] = body
	}
	return reports
}

// Orders returns the orders that took effect, in their order.
func (platform *Platform) Orders() []infra.TargetOrder {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return append([]infra.TargetOrder(nil), platform.log...)
}

// Handler returns the HTTP handler of the platform's interfaces.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+infra.PathRow, platform.serveRow)
	mux.HandleFunc("GET "+infra.PathRows, platform.serveRows)
	mux.HandleFunc("POST "+infra.PathCommit, platform.serveCommit)
	mux.HandleFunc("GET "+infra.PathObjects+"{key...}", platform.serveObject)
	mux.HandleFunc("PUT "+infra.PathObjects+"{key...}", platform.servePut)
	mux.HandleFunc("GET "+infra.PathInstances, platform.serveInstances)
	mux.HandleFunc("GET "+infra.PathTargets, platform.serveTargets)
	mux.HandleFunc("POST "+infra.PathOrders, platform.serveOrder)
	mux.HandleFunc("POST "+infra.PathUsage, platform.serveUsage)
	return mux
}

func (platform *Platform) client(r *http.Request) *memory.Client {
	return platform.Store.Client(r.RemoteAddr)
}

func (platform *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := platform.client(r).Get(r.Context(), r.URL.Query().Get("key"))
	answer(w, row, err)
}

func (platform *Platform) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		answer(w, nil, code.Errorf(code.RowMalformed, "limit %q is not a positive number", query.Get("limit")))
		return
	}
	rows, err := platform.client(r).List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	answer(w, infra.RowList{Rows: rows}, err)
}

func (platform *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var request infra.CommitRequest
	if !readMessage(w, r, &request) {
		return
	}
	err := platform.client(r).Commit(detached(r), request.Writes...)
	answer(w, struct{}{}, err)
}

func (platform *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	data, err := platform.client(r).Fetch(r.Context(), r.PathValue("key"))
	if err != nil {
		answer(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (platform *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer(w, struct{}{}, platform.client(r).Put(detached(r), r.PathValue("key"), data))
}

func (platform *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if time.Since(platform.listedAt) >= platform.listLag {
		platform.listed = infra.InstanceList{}
		for _, instance := range platform.instances {
			platform.listed.Instances = append(platform.listed.Instances, instance)
		}
		platform.listedAt = time.Now()
	}
	answer(w, platform.listed, nil)
}

func (platform *Platform) serveTargets(w http.ResponseWriter, _ *http.Request) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var list infra.TargetList
	for _, target := range platform.targets {
		list.Targets = append(list.Targets, target)
	}
	answer(w, list, nil)
}

func (platform *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order infra.TargetOrder
	if !readMessage(w, r, &order) {
		return
	}
	reply, err := platform.order(order)
	answer(w, reply, err)
}

func (platform *Platform) order(order infra.TargetOrder) (infra.TargetOrderReply, error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	key := orderKey{dataCenter: order.DataCenter, number: order.Number}
	if record, ok := platform.orders[key]; ok {
		if !reflect.DeepEqual(record.order, order) {
			return infra.TargetOrderReply{}, code.Errorf(code.OrderRefused, "order %d was sent with other content", order.Number)
		}
		return record.reply, nil
	}
	reply := platform.carryOut(order)
	platform.orders[key] = orderRecord{order: order, reply: reply}
	platform.log = append(platform.log, order)
	return reply, nil
}

func (platform *Platform) carryOut(order infra.TargetOrder) infra.TargetOrderReply {
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
	if platform.Stop != nil {
		platform.Stop(id)
	}
}

func (platform *Platform) startTarget(order infra.TargetOrder, reply *infra.TargetOrderReply) error {
	if platform.Start == nil {
		return errors.New("no capacity")
	}
	target, err := platform.Start(order)
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
	if !readMessage(w, r, &report) {
		return
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if body, ok := platform.reports[report.Number]; ok && string(body) != string(report.Body) {
		answer(w, nil, code.Errorf(code.WindowFrozen, "report %s was sent with other figures", report.Number))
		return
	}
	platform.reports[report.Number] = report.Body
	answer(w, struct{}{}, nil)
}

// detached lets a write take effect whatever becomes of its caller.
func detached(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}

func readMessage(w http.ResponseWriter, r *http.Request, dst any) bool {
	err := json.UnmarshalRead(r.Body, dst)
	if err != nil {
		answer(w, nil, code.Wrap(err, code.MessageMalformed, "platform call"))
	}
	return err == nil
}

func answer(w http.ResponseWriter, message any, err error) {
	if err == nil {
		_ = json.MarshalWrite(w, message)
		return
	}
	number := code.FromError(err)
	if number == code.WriteUnknown {
		// The answer is lost: the connection closes without one.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(code.Lookup(number).Status)
	_ = json.MarshalWrite(w, infra.ErrorResponse{Code: int(number), Message: err.Error()})
}

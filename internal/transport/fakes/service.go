package fakes

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/coordination/pause"
	"mangopier.example/mangopier/internal/protocol/engine"
)

// Service is a stand-in for a plain service, such as print orders or
// bookings. It does not look for repeated calls, so each run counts.
type Service struct {
	// Delay is how long a call runs.
	Delay time.Duration

	mu      sync.Mutex
	runs    []Run
	fault   atomic.Int32
	serving atomic.Int64
}

// Run is one call that a service ran.
type Run struct {
	Team   string
	Path   string
	CallID string
	Body   string
	Keyed  bool // the caller's key came along, which must not happen
}

// ServiceFault is what a service does to calls.
type ServiceFault int32

// Faults of a service.
const (
	ServiceWorks     ServiceFault = iota
	ServiceDropsRun               // runs the call and drops the connection
	ServiceDropsCall              // drops the connection before it runs the call
	ServiceHangs                  // runs the call and never answers
)

// ServiceReply is the answer to a call that ran.
type ServiceReply struct {
	Order int    `json:"order"` // number of the run
	Team  string `json:"team"`
	Echo  string `json:"echo"`
}

// SetFault decides what later calls suffer.
func (service *Service) SetFault(fault ServiceFault) {
	service.fault.Store(int32(fault))
}

// Runs returns the calls that ran.
func (service *Service) Runs() []Run {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]Run(nil), service.runs...)
}

// Handler returns the HTTP handler of the service.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, service.serveLoad)
	mux.HandleFunc("/", service.serve)
	return mux
}

func (service *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.MarshalWrite(w, engine.LoadReport{
		MeasuredAtUnixMS: time.Now().UnixMilli(), RunningRequests: int(service.serving.Load()),
	})
}

func (service *Service) serve(w http.ResponseWriter, r *http.Request) {
	service.serving.Add(1)
	defer service.serving.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := ServiceFault(service.fault.Load())
	if fault == ServiceDropsCall {
		panic(http.ErrAbortHandler)
	}
	number := service.run(r, string(body))
	if !pause.For(r.Context(), service.Delay) {
		return
	}
	switch fault {
	case ServiceDropsRun:
		panic(http.ErrAbortHandler)
	case ServiceHangs:
		<-r.Context().Done()
		return
	default:
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	w.Header().Set("X-Run", strconv.Itoa(number))
	_ = json.MarshalWrite(w, ServiceReply{Order: number, Team: r.Header.Get(engine.HeaderTeam), Echo: string(body)})
}

func (service *Service) run(r *http.Request, body string) int {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.runs = append(service.runs, Run{
		Team: r.Header.Get(engine.HeaderTeam), Path: r.URL.Path,
		CallID: r.Header.Get(engine.HeaderCallID), Body: body,
		Keyed: r.Header.Get("Authorization") != "",
	})
	return len(service.runs)
}

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

// Service is a fake plain service, such as print orders or bookings. It does not
// detect repeated calls, so that tests can count how often a call ran.
type Service struct {
	// CallDuration is the time that a call takes.
	CallDuration time.Duration

	mu             sync.Mutex
	runs           []ServiceRun
	fault          atomic.Int32
	activeRequests atomic.Int64
}

// ServiceRun is a call that a service executed.
type ServiceRun struct {
	Team             string
	Path             string
	CallID           string
	Body             string
	HasAuthorization bool // the caller's API key was forwarded, which must not happen
}

// ServiceFault is a fault that a service applies to its calls.
type ServiceFault int32

// Faults of a service. The zero value is none.
const (
	ServiceNoFault       ServiceFault = iota
	ServiceDropAfterRun               // runs the call, then closes the connection without a response
	ServiceDropBeforeRun              // closes the connection without running the call
	ServiceHang                       // runs the call and never responds
	ServiceFailAfterRun               // runs the call, then answers with ServiceFailStatus and with headers of instances
)

// ServiceFailStatus is the status of a call that failed after it ran.
const ServiceFailStatus = http.StatusServiceUnavailable

// ServiceResponse is the response to a call that ran.
type ServiceResponse struct {
	RunNumber int    `json:"order"` // number of the run, counted from 1
	Team      string `json:"team"`
	Echo      string `json:"echo"`
}

// SetFault sets the fault that applies to later calls.
func (service *Service) SetFault(fault ServiceFault) {
	service.fault.Store(int32(fault))
}

// Runs returns the calls that ran, oldest first.
func (service *Service) Runs() []ServiceRun {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]ServiceRun(nil), service.runs...)
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
		MeasuredAtUnixMS: time.Now().UnixMilli(), RunningRequests: int(service.activeRequests.Load()),
	})
}

func (service *Service) serve(w http.ResponseWriter, r *http.Request) {
	service.activeRequests.Add(1)
	defer service.activeRequests.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := ServiceFault(service.fault.Load())
	if fault == ServiceDropBeforeRun {
		panic(http.ErrAbortHandler)
	}
	runNumber := service.recordRun(r, string(body))
	if !pause.For(r.Context(), service.CallDuration) {
		return
	}
	switch fault {
	case ServiceDropAfterRun:
		panic(http.ErrAbortHandler)
	case ServiceHang:
		<-r.Context().Done()
		return
	case ServiceFailAfterRun:
		w.Header().Set("X-Mangopier-Run", "not-run")
		w.Header().Set("X-Mangopier-Code", "1104")
		w.WriteHeader(ServiceFailStatus)
		return
	default:
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	w.Header().Set("X-Run", strconv.Itoa(runNumber))
	_ = json.MarshalWrite(w, ServiceResponse{RunNumber: runNumber, Team: r.Header.Get(engine.HeaderTeam), Echo: string(body)})
}

func (service *Service) recordRun(r *http.Request, body string) int {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.runs = append(service.runs, ServiceRun{
		Team: r.Header.Get(engine.HeaderTeam), Path: r.URL.Path,
		CallID: r.Header.Get(engine.HeaderCallID), Body: body,
		HasAuthorization: r.Header.Get("Authorization") != "",
	})
	return len(service.runs)
}

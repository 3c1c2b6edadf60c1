package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// dutyCall is one accepted call to the platform.
type dutyCall struct {
	at            time.Time
	duty, subject string
	holder        string // name in the call, which no two machines share
	token         uint64
	body          string
}

// cloud is a stand-in for the platform's API of singleton duties. RequireFencing is false:
// it accepts all calls.
type cloud struct {
	record  *record
	server  *http.Server
	address string

	mutex sync.Mutex
	calls []dutyCall
}

func (cloud *cloud) serve(ip string) error {
	listener, err := listen(ip + ":0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", cloud.serveUsage)
	mux.HandleFunc("POST /scale", cloud.serveScale)
	cloud.address, cloud.server = listener.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = cloud.server.Serve(listener) }()
	return nil
}

func (cloud *cloud) close() { _ = cloud.server.Close() }

func (cloud *cloud) serveUsage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowSeq int64
		Counts    map[string]int64
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	counts, _ := json.Marshal(body.Counts) // sorted by team
	cloud.add(w, r, dutyCall{duty: "usage", subject: "all windows", body: fmt.Sprintf("window %d %s", body.WindowSeq, counts)})
}

func (cloud *cloud) serveScale(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service, Zone string
		DesiredCount  int
		Spot          bool
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cloud.add(w, r, dutyCall{duty: "scale", subject: body.Service + " in " + body.Zone, body: fmt.Sprintf("count %d spot %v", body.DesiredCount, body.Spot)})
}

func (cloud *cloud) add(w http.ResponseWriter, r *http.Request, call dutyCall) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.at, call.token, call.holder = time.Now(), token, r.Header.Get("Lease-Holder")
	cloud.mutex.Lock()
	cloud.calls = append(cloud.calls, call)
	cloud.mutex.Unlock()
	cloud.record.addf("duty     %s, %s: holder %s, fencing token %d: %s", call.duty, call.subject, call.holder, call.token, call.body)
	w.WriteHeader(http.StatusOK)
}

func (cloud *cloud) accepted() []dutyCall {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	return slices.Clone(cloud.calls)
}

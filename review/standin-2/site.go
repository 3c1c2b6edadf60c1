package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// couldNotRun ends a case whose set-up failed.
type couldNotRun string

const (
	host        = "ficu95.example"
	apiKey      = "3fexd9dnn2ctnfzs989a"
	tenant      = "hule930"
	heartbeatMs = 1200
)

// site is a small deployment: the platform, runners, instances and a record.
type site struct {
	store     *store
	cloud     *cloud
	instances []*instance
	runners   []*runner
	folder    string
	storeAt   string
	cloudAt   string
	ports     [4]int // front, ready, first and last internal one
	bootstrap bool
	zones     []string

	recordMutex sync.Mutex
	record      *os.File
	start       time.Time
}

func newSite(record *os.File) *site {
	folder, err := os.MkdirTemp("", "review-2-")
	must(err)
	s := &site{store: newStore(), folder: folder, record: record, start: time.Now(), bootstrap: true, zones: []string{"tas-a", "tas-b", "tas-c"}}
	s.cloud = &cloud{site: s, reports: map[int64][]usageReport{}}
	s.storeAt, s.cloudAt = s.store.listen(s.ip(1, 1)), s.cloud.listen(s.ip(1, 2))
	s.ports = [4]int{8368, 8369, 7780, 7795}
	return s
}

// ip returns an address of the loopback network that no other run of a case uses.
func (s *site) ip(group, number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/60%240, pid%60*4+group, number)
}

// log writes a line to the record.
func (s *site) log(format string, values ...any) {
	s.recordMutex.Lock()
	defer s.recordMutex.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, values...))
}

// cloud is a stand-in of the API that takes the calls of duties.
type cloud struct {
	site    *site
	mutex   sync.Mutex
	reports map[int64][]usageReport
}

type usageReport struct {
	holder, fence string
	counts        string
	at            time.Time
}

func (c *cloud) listen(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	go func() { _ = (&http.Server{Handler: c}).Serve(listener) }()
	return listener.Addr().String()
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	holder, fence := r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token")
	c.site.log("platform got %s %s from %s with fencing token %s: %s", r.Method, r.URL.Path, holder, fence, data)
	if r.URL.Path == "/usage" {
		var body struct {
			WindowSeq int64
			Counts    map[string]int64
		}
		if json.Unmarshal(data, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		counts, _ := json.Marshal(body.Counts) // keys in order
		c.mutex.Lock()
		c.reports[body.WindowSeq] = append(c.reports[body.WindowSeq], usageReport{holder, fence, string(counts), time.Now()})
		c.mutex.Unlock()
	}
	w.WriteHeader(http.StatusOK)
}

// instance is one process of the program under review.
type instance struct {
	site     *site
	name, ip string
	settings string
	zone     string
	process  *exec.Cmd
	exited   chan error
	ended    atomic.Bool

	sent, answered, failed atomic.Int64 // requests of consumers
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, i.site.ports[0]) }

func (s *site) addInstance() *instance {
	n := len(s.instances)
	i := &instance{site: s, name: fmt.Sprintf("front-%d", n+1), ip: s.ip(2, n+1), zone: s.zones[n%len(s.zones)]}
	i.settings = filepath.Join(s.folder, i.name+".toml")
	s.instances = append(s.instances, i)
	i.writeSettings(s.bootstrap)
	i.run()
	return i
}

func (i *instance) writeSettings(bootstrap bool) {
	s := i.site
	text := fmt.Sprintf(`Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "tas"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = %v
CountsTowardTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = %d
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"]
[Zones]
tas-a = "tas"
tas-b = "tas"
tas-c = "tas"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 52
RequireFencing = false
LeaseMs = 3000
ThawSlackMs = 300
ReportWindowS = 5
UsageTolerance = 0.05
UsageLateS = 10
RecoveryS = 12
TransitMs = 120
RetryAfterS = 9.4
[Platform]
Address = %q
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
[Cloud]
Address = %q
RatePerS = 50.0
Duties = ["usage_report","autoscale"]
DutyPerS = 50.0
`, i.name, i.ip, i.zone, s.ports[2], s.ports[3], bootstrap, heartbeatMs, i.ip, s.ports[0], i.ip, s.ports[1], s.storeAt, s.cloudAt)
	must(os.WriteFile(i.settings, []byte(text), 0o600))
}

// run starts the process with the command of the deploy file.
func (i *instance) run() {
	out, err := os.OpenFile(filepath.Join(i.site.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	i.process = exec.Command("target/mangopierd", "--metrics-port", "9464")
	i.process.Stdout, i.process.Stderr = out, out
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.site.folder, "MANGOPIER_SETTINGS=" + i.settings}
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(i.process.Start())
	i.ended.Store(false)
	exited := make(chan error, 1)
	i.exited = exited
	process := i.process
	go func() {
		err := process.Wait()
		i.ended.Store(true)
		exited <- err
		_ = out.Close()
	}()
}

func (i *instance) signal(signal syscall.Signal) {
	i.site.log("signal %v to %s", signal, i.name)
	_ = i.process.Process.Signal(signal)
}

func (i *instance) ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", i.ip, i.site.ports[1]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances say that they are ready.
func (s *site) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range s.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				panic(couldNotRun(i.name + " is not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends all processes.
func (s *site) stop() {
	for _, i := range s.instances {
		if i.process != nil && i.process.Process != nil && !i.ended.Load() {
			_ = i.process.Process.Signal(syscall.SIGCONT)
			_ = i.process.Process.Kill()
			<-i.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// runner is a stand-in of one runner.
type runner struct {
	site    *site
	id      string
	service string
	stage   string
	zone    string
	slots   int
	version string
	address string
	serve   func(r *runner, w http.ResponseWriter, request *http.Request)

	mutex    sync.Mutex
	born     int64
	sequence int64
	server   *http.Server
	stopped  chan struct{}
	down     bool
}

func (s *site) addRunner(added *runner) *runner {
	added.site = s
	s.runners = append(s.runners, added)
	if added.address == "" {
		added.address = s.ip(3, len(s.runners)) + ":0"
	}
	added.startUp()
	return added
}

// startUp starts the runner, under its id, at the address that it had.
func (r *runner) startUp() {
	listener, err := net.Listen("tcp", r.address)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", r.address)
	}
	must(err)
	r.mutex.Lock()
	r.address, r.born, r.sequence, r.down = listener.Addr().String(), time.Now().UnixMilli(), 0, false
	r.server, r.stopped = &http.Server{Handler: r}, make(chan struct{})
	server, stopped := r.server, r.stopped
	r.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.register()
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(heartbeatMs * time.Millisecond):
			}
			r.register()
		}
	}()
}

func (r *runner) register() bool {
	r.mutex.Lock()
	r.sequence++
	value := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": r.version, "Slots": r.slots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": r.sequence, "born": r.born,
	}
	if r.stage != "" {
		value["Stage"], value["Models"] = r.stage, []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}
	}
	r.mutex.Unlock()
	return r.site.store.put("servers", r.id, value)
}

func (r *runner) setVersion(version string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.version = version
}

// crash ends the runner without a word: its channels are reset.
func (r *runner) crash() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = true
	close(r.stopped)
	_ = r.server.Close()
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/v1/report":
		r.report(w)
		return
	case request.URL.Path == "/v1/order":
		r.site.log("order at %s: holder and fence in the body", r.id)
		w.WriteHeader(http.StatusConflict)
		return
	case request.Method == http.MethodDelete:
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := request.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if named := request.Header.Get("Target-Instance"); named != "" && named != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.serve(r, w, request)
}

func (r *runner) report(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	data, _ := json.Marshal(map[string]any{
		"Stage": r.stage, "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false,
		"Sequence": 0, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 470218, "KvHandles": 0, "born": r.born,
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// manifest returns a manifest with one plain and one model service.
func manifest(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{"Name": "r-book", "Host": host, "Prefix": "/book/", "Kind": "unsafe", "TimeoutMs": 2000, "TargetLatencyMs": 100, "Priority": 2, "Service": "desk", "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false},
			map[string]any{"Name": "r-read", "Host": host, "Prefix": "/read/", "Kind": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 100, "Priority": 2, "Service": "desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false},
			map[string]any{"Name": "r-ask", "Host": host, "Prefix": "/ask/", "Kind": "streaming", "TimeoutMs": 8000, "TargetLatencyMs": 500, "Priority": 1, "Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": 200},
			map[string]any{"Name": "r-once", "Host": host, "Prefix": "/once/", "Kind": "streaming", "TimeoutMs": 6000, "TargetLatencyMs": 500, "Priority": 1, "Service": "llm", "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "TargetGapMs": 200},
		},
		"Services": []any{
			map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false},
			map[string]any{
				"Name": "llm", "HealthPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 64, "KvCapacity": 470218, "KvTokenBytes": 163840, "LinkMbps": 1600000.0, "Moves": true, "Backups": true, "Stride": 1, "most": 12, "HandleTtlS": 5.0, "SwitchS": 3.0, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []any{map[string]any{"Name": "m"}}},
			},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	}
}

var attempts atomic.Int64

func newAttempt() string { return "a" + strconv.FormatInt(attempts.Add(1), 10) }

// newRequest returns a consumer's request.
func newRequest(ctx context.Context, address, method, path, attempt string, deadline time.Duration, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	must(err)
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	return request
}

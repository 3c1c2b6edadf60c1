package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment on loopback addresses.
type site struct {
	trouble   bool
	folder    string // temporary
	record    *record
	store     *store
	cloud     string
	prefix    string // of the addresses of this run, 127.A.B
	ports     [4]int // front, ready, control and the first internal one
	instances []*instance

	mutex   sync.Mutex
	runners map[string]*runnerProcess
	nextID  int
}

// instance is one process of the project.
type instance struct {
	name, ip, zone, settings string
	process                  *exec.Cmd
	startedAt                time.Time
	ended                    chan struct{}
}

// runnerProcess is one runner as a process.
type runnerProcess struct {
	id, address string
	process     *exec.Cmd
	ended       chan struct{}
}

// record is the file with what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (record *record) printf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f  "+format+"\n", append([]any{time.Since(record.started).Seconds()}, arguments...)...)
}

// key is the API key of the only tenant, host that of all routes.
const (
	key  = "3fexd9dnn2ctnfzs989a"
	host = "ficu95.example"
)

// newSite starts the store and the platform's duty calls.
func newSite(folder string, trouble bool) (*site, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	site := &site{
		trouble: trouble, folder: temporary, record: &record{file: file, started: time.Now()},
		prefix: fmt.Sprintf("127.%d.%d", 60+rand.IntN(150), 1+rand.IntN(250)), runners: map[string]*runnerProcess{},
	}
	for i := range site.ports {
		if site.ports[i], err = site.freePort(); err != nil {
			return nil, err
		}
	}
	if site.store, err = startStore(site.prefix + ".200:0"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", site.prefix+".201:0")
	if err != nil {
		return nil, err
	}
	site.cloud = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			site.record.printf("platform got %s of %s with fence %s", r.URL.Path, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"))
		}))
	}()
	return site, nil
}

// freePort returns a port outside the usual range of ephemeral ones.
func (site *site) freePort() (int, error) {
	for range 100 {
		port := 20000 + 20*rand.IntN(500)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", site.prefix, port))
		if err == nil {
			return port, listener.Close()
		}
	}
	return 0, fmt.Errorf("no free port")
}

// settings has the form of DEPLOY.md with the bounds of tidewater-guides.
const settings = `Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "tas"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = %t
CountsTowardTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"]
[Zones]
tas-a = "tas"
tas-b = "tas"
tas-c = "tas"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
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
Duties = ["usage_report"]
DutyPerS = 50.0
`

// zones are those of the instances and runners, in turn.
var zones = []string{"tas-a", "tas-b", "tas-c"}

// startInstances starts the first processes of a number of instances.
func (site *site) startInstances(count int) error {
	for i := range count {
		zone := zones[i%len(zones)]
		site.instances = append(site.instances, &instance{
			name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: fmt.Sprintf("%s.%d", site.prefix, 1+i), zone: zone,
			settings: filepath.Join(site.folder, fmt.Sprintf("local-%d.toml", i)),
		})
	}
	for _, instance := range site.instances {
		if err := site.startInstance(instance, true); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts a process with the command of the deploy file, in the root of the
// repository.
func (site *site) startInstance(instance *instance, first bool) error {
	text := fmt.Sprintf(settings, instance.name, instance.ip, instance.zone, site.ports[3], site.ports[3]+15, first,
		instance.ip, site.ports[0], instance.ip, site.ports[1], instance.ip, site.ports[2], site.store.address, site.cloud)
	if err := os.WriteFile(instance.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(site.folder, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command("target/mangopierd", "--metrics-port", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MANGOPIER_SETTINGS=" + instance.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	instance.startedAt, instance.ended, instance.process = time.Now(), make(chan struct{}), process
	site.record.printf("instance %s starts, Bootstrap %t", instance.name, first)
	return start(process, instance.ended)
}

// start starts a process, and closes a channel when it has ended. The thread that starts it
// goes on for as long as the script runs, since the process is killed with it.
func start(process *exec.Cmd, ended chan struct{}) error {
	result := make(chan error)
	starts <- func() { result <- process.Start() }
	if err := <-result; err != nil {
		return err
	}
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

var starts = make(chan func())

// kill kills an instance and waits for its end.
func (site *site) kill(instance *instance) {
	_ = instance.process.Process.Signal(syscall.SIGKILL)
	<-instance.ended
	site.record.printf("instance %s killed", instance.name)
}

// isReady asks an instance as the platform does.
func (site *site) isReady(instance *instance) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", instance.ip, site.ports[1]))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (site *site) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, instance := range site.instances {
			if site.isReady(instance) {
				ready++
			}
		}
		if ready == len(site.instances) {
			site.record.printf("all instances are ready")
			return nil
		}
	}
	return fmt.Errorf("instances not ready within %v", within)
}

// startRunner starts a runner as a process. With an earlier one given, it starts again under
// its ID and address.
func (site *site) startRunner(earlier *runnerProcess, service, stage, version string, pause time.Duration, flags ...string) (*runnerProcess, error) {
	runner := &runnerProcess{ended: make(chan struct{})}
	if earlier != nil {
		runner.id, runner.address = earlier.id, earlier.address
	} else {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", site.prefix, 100+site.nextID))
		if err != nil {
			return nil, err
		}
		runner.id, runner.address = fmt.Sprintf("i-%s%02d", service[:2], site.nextID), listener.Addr().String()
		site.nextID++
		if err := listener.Close(); err != nil {
			return nil, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	runner.process = exec.Command(self, append([]string{
		"runner", "-id", runner.id, "-service", service, "-stage", stage, "-version", version, "-zone", zones[site.nextID%len(zones)],
		"-address", runner.address, "-store", site.store.address, "-pause", pause.String(),
	}, flags...)...)
	runner.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runner.process.Stderr = os.Stderr
	output, err := runner.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	read := make(chan struct{})
	if err := startWith(runner.process, runner.ended, read); err != nil {
		return nil, err
	}
	go func() {
		defer close(read)
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			var event runnerEvent
			if json.Unmarshal(lines.Bytes(), &event) == nil {
				site.record.printf("runner %s %s: %s %s after=%q events=%d", event.Runner, event.Version, event.What, event.Attempt, event.After, event.Events)
			}
		}
	}()
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.runners[runner.id] = runner
	return runner, nil
}

// addRunner starts a runner within the script's own process.
func (site *site) addRunner(service, stage, version string, pause time.Duration) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", site.prefix, 100+site.nextID))
	if err != nil {
		return err
	}
	runner := &runner{
		id: fmt.Sprintf("i-%s%02d", service[:2], site.nextID), service: service, stage: stage, version: version, zone: zones[site.nextID%len(zones)],
		address: listener.Addr().String(), store: site.store.address, slots: 64, pause: pause, handles: map[string]string{},
	}
	runner.report = func(event runnerEvent) {
		site.record.printf("runner %s %s: %s %s after=%q events=%d", event.Runner, event.Version, event.What, event.Attempt, event.After, event.Events)
	}
	site.nextID++
	if err := listener.Close(); err != nil {
		return err
	}
	return runner.start()
}

// startWith is start for a process whose output is read until read is closed.
func startWith(process *exec.Cmd, ended, read chan struct{}) error {
	result := make(chan error)
	starts <- func() { result <- process.Start() }
	if err := <-result; err != nil {
		return err
	}
	go func() {
		<-read
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// killRunner kills a runner and waits for its end.
func (site *site) killRunner(runner *runnerProcess) {
	_ = runner.process.Process.Signal(syscall.SIGKILL)
	<-runner.ended
	site.record.printf("runner %s killed", runner.id)
}

// stop ends all processes.
func (site *site) stop() {
	for _, instance := range site.instances {
		if instance.process != nil {
			_ = instance.process.Process.Signal(syscall.SIGKILL)
			<-instance.ended
		}
	}
	site.mutex.Lock()
	defer site.mutex.Unlock()
	for _, runner := range site.runners {
		_ = runner.process.Process.Signal(syscall.SIGKILL)
		<-runner.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(site.folder)
	} else {
		fmt.Println("logs kept in", site.folder)
	}
}

// publish writes the manifest. Streams of the route talk may be resumed, those of once not;
// book is unsafe and read is safe.
func (site *site) publish(version int) {
	route := `{"Name":%q,"Host":"` + host + `","Prefix":%q,"Kind":%q,"TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":1,"Service":%q,"MaxAttempts":%d,"Public":false,"Sticky":%t,"Resumable":%t%s}`
	routes := strings.Join([]string{
		fmt.Sprintf(route, "talk", "/talk/", "streaming", 15000, 500, "llm", 2, true, true, `,"TargetGapMs":200`),
		fmt.Sprintf(route, "once", "/once/", "streaming", 15000, 500, "llm", 1, true, false, `,"TargetGapMs":200`),
		fmt.Sprintf(route, "book", "/book/", "unsafe", 1000, 100, "desk", 1, false, false, ""),
		fmt.Sprintf(route, "read", "/read/", "safe", 1000, 100, "desk", 2, false, false, ""),
	}, ",")
	services := `{"Name":"llm","HealthPath":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":470218,"KvTokenBytes":163840,"LinkMbps":1600000.0,"Moves":true,"Backups":true,"Stride":9,"most":12,"HandleTtlS":5.0,"SwitchS":3.0,"PinMs":4000.0,"HoldMs":2000.0,"Models":[{"Name":"m"}]}},` +
		`{"Name":"desk","HealthPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}`
	site.store.put("op", "config", fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":[%q],"Priority":1}]}`,
		version, routes, services, key))
	site.record.printf("operator wrote manifest %d", version)
}

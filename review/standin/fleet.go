package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program and its arguments are those of deploy/system.toml.
var program = []string{"target/mangopierd", "--metrics-port", "9464"}

// instance is one process of the system.
type instance struct {
	name, zone, ip, settings string
	process                  *exec.Cmd
	ended                    chan struct{}
}

// fleet holds the processes of the system.
type fleet struct {
	record    *record
	folder    string // temporary
	port      int    // first of the internal ports; the others follow
	instances []*instance
}

const (
	internalPorts = 8
	frontPort     = internalPorts // after the first internal one
	readyPort     = internalPorts + 1
	usedPorts     = internalPorts + 2
)

// newFleet prepares instances on loopback addresses of their own, one in each zone in turn.
func newFleet(record *record, net127 string, count int, zones []string, storeAddress, cloudAddress string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "mangopier-review-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{record: record, folder: folder}
	for i := range count {
		zone := zones[i%len(zones)]
		fleet.instances = append(fleet.instances, &instance{
			name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", net127, 10+i),
			settings: filepath.Join(folder, fmt.Sprintf("local-%d.toml", i)),
		})
	}
	if fleet.port, err = fleet.freePorts(); err != nil {
		return nil, err
	}
	for _, instance := range fleet.instances {
		text := fleet.settings(instance, zones, storeAddress, cloudAddress)
		if err := os.WriteFile(instance.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// listen listens on a TCP address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// freePorts returns the first of some consecutive ports that are free at all instances,
// below the range from which the system takes ports for outgoing connections.
func (fleet *fleet) freePorts() (int, error) {
	for range 200 {
		first := 10_000 + rand.IntN(15_000)
		if fleet.areFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (fleet *fleet) areFree(first int) bool {
	for _, instance := range fleet.instances {
		for i := range usedPorts {
			listener, err := listen(fmt.Sprintf("%s:%d", instance.ip, first+i))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// settings returns the settings file of an instance, as DEPLOY.md shows it, with the bounds
// of sites/tidewater-guides.toml.
func (fleet *fleet) settings(instance *instance, zones []string, storeAddress, cloudAddress string) string {
	var regions strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&regions, "%s = \"tas\"\n", zone)
	}
	return fmt.Sprintf(`Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "tas"
InternalPorts = [%d,%d]
Seeds = []
Bootstrap = true
CountsTowardTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader","platform"]
[Zones]
%s[Listen]
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
`, instance.name, instance.ip, instance.zone, fleet.port, fleet.port+internalPorts-1, regions.String(),
		instance.ip, fleet.port+frontPort, instance.ip, fleet.port+readyPort, storeAddress, cloudAddress)
}

// start starts an instance with the command of the deploy file.
func (fleet *fleet) start(instance *instance) error {
	log, err := os.OpenFile(filepath.Join(fleet.folder, instance.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.CommandContext(context.Background(), program[0], program[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MANGOPIER_SETTINGS=" + instance.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	instance.process, instance.ended = process, ended
	fleet.record.addf("system   %s started at %s", instance.name, instance.ip)
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts all instances and waits until they are ready.
func (fleet *fleet) startAll() error {
	for _, instance := range fleet.instances {
		if err := fleet.start(instance); err != nil {
			return err
		}
	}
	for _, instance := range fleet.instances {
		if err := fleet.awaitReady(instance, 10*time.Second); err != nil {
			return err
		}
	}
	fleet.record.addf("system   all instances are ready")
	return nil
}

func (fleet *fleet) awaitReady(instance *instance, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if fleet.isReady(instance) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", instance.name, limit)
}

func (fleet *fleet) isReady(instance *instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", instance.ip, fleet.port+readyPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (fleet *fleet) front(instance *instance) string {
	return fmt.Sprintf("%s:%d", instance.ip, fleet.port+frontPort)
}

// close ends all processes that were started and removes the temporary folder. With keep,
// the folder stays.
func (fleet *fleet) close(keep bool) {
	for _, instance := range fleet.instances {
		if instance.process != nil {
			_ = instance.process.Process.Kill()
			<-instance.ended
		}
	}
	if keep {
		fmt.Println("logs:", fleet.folder)
		return
	}
	_ = os.RemoveAll(fleet.folder)
}

// Command standin plays the cases of a review: it starts the project's program as separate
// processes on loopback addresses, stands in for callers, runners and the platform, and
// judges one rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the rules' cases by name. A case returns what broke the rule.
var cases = map[string]func(world *world) ([]string, error){
	"status":   playStatus,
	"manifest": playManifest,
	"token":    playToken,
	"silence":  playSilence,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	keep := flag.Bool("keep", false, "whether the logs of the processes are kept")
	flag.Parse()
	os.Exit(play(*name, *path, *trouble, *keep))
}

func play(name, path string, trouble, keep bool) int {
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCannotRun
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.close()
	world := &world{record: record, trouble: trouble, runs: &runs{byID: map[string][]run{}}}
	defer world.close(keep)
	broken := make(chan []string, 1)
	failed := make(chan error, 1)
	go func() {
		found, err := playCase(world)
		if err != nil {
			failed <- err
			return
		}
		broken <- found
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		record.sayf("the case could not run: %v", err)
		return exitCannotRun
	case <-signals:
		record.sayf("the case was interrupted")
		return exitCannotRun
	case <-time.After(110 * time.Second):
		record.sayf("the case took too long")
		return exitCannotRun
	case found := <-broken:
		for i, text := range found {
			if i == 10 {
				record.sayf("and %d more", len(found)-i)
				break
			}
			record.sayf("broken   %s", text)
		}
		if len(found) > 0 {
			return exitBroken
		}
		record.sayf("the rule held")
		return exitHeld
	}
}

// world holds the stand-ins of a case.
type world struct {
	record  *record
	trouble bool
	net127  string // first three numbers of the addresses
	store   *store
	cloud   *cloud
	runs    *runs
	runners []*runner
	fleet   *fleet
	callers *callers
}

// zones are those of sites/tidewater-guides.toml.
var zones = []string{"tas-a", "tas-b", "tas-c"}

// openPlatform starts the store and the API of duties.
func (world *world) openPlatform() error {
	world.net127 = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
	world.store, world.cloud = newStore(world.record), &cloud{record: world.record}
	if err := world.store.serve(world.net127 + ".1"); err != nil {
		return err
	}
	return world.cloud.serve(world.net127 + ".2")
}

// addRunners starts a number of runners of a service in the zones in turn. Status returns
// what the runner of an index answers an attempt with; nil means 200.
func (world *world) addRunners(service string, count int, status func(index int, attempt string) int) error {
	for i := range count {
		runner := &runner{
			id: "i-" + newID()[:8], service: service, zone: zones[i%len(zones)], slots: 6, work: 15 * time.Millisecond,
			record: world.record, store: world.store, runs: world.runs,
		}
		if status != nil {
			runner.status = func(attempt string) int { return status(i, attempt) }
		}
		if err := runner.start(fmt.Sprintf("%s.%d", world.net127, 100+len(world.runners))); err != nil {
			return err
		}
		world.runners = append(world.runners, runner)
		world.record.addf("runner   %s of %s at %s", runner.id, service, runner.address)
	}
	return nil
}

// instances is the number of instances, as in sites/tidewater-guides.toml.
const instances = 6

// startFleet starts the instances.
func (world *world) startFleet() error {
	var err error
	world.fleet, err = newFleet(world.record, world.net127, instances, zones, world.store.address, world.cloud.address)
	if err != nil {
		return err
	}
	world.callers = newCallers(world.record, world.fleet)
	return world.fleet.startAll()
}

func (world *world) close(keep bool) {
	if world.fleet != nil {
		world.fleet.close(keep)
	}
	for _, runner := range world.runners {
		runner.close()
	}
	if world.cloud != nil && world.cloud.server != nil {
		world.cloud.close()
	}
	if world.store != nil && world.store.server != nil {
		world.store.close()
	}
}

// publish writes a manifest to the store and returns when it was confirmed.
func (world *world) publish(manifest map[string]any) (time.Time, error) {
	version, ok := world.store.put("op", "config", manifest)
	if !ok {
		return time.Time{}, fmt.Errorf("the store took no manifest")
	}
	world.record.addf("operator manifest %v confirmed as row version %d", manifest["Version"], version)
	return time.Now(), nil
}

// Names of the manifests.
const (
	host = "ficu95.example"
	key  = "3fexd9dnn2ctnfzs989a"
	team = "hule930"
	// otherKey belongs to otherTeam until a manifest takes it away.
	otherKey  = "nu6wsjnbanfqasnmgkcu"
	otherTeam = "fida11"
)

// route returns a route of a manifest with the figures of sites/tidewater-guides.toml.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2,
		"Service": service, "MaxAttempts": 2, "Public": false,
	}
}

// manifest returns a manifest for plain services.
func manifest(version int64, services []string, routes ...map[string]any) map[string]any {
	var listed []map[string]any
	for _, service := range services {
		listed = append(listed, map[string]any{"Name": service, "HealthPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": listed,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{
			{"Name": team, "ApiKeys": []string{key}, "Priority": 1},
			{"Name": otherTeam, "ApiKeys": []string{otherKey}, "Priority": 1},
		},
	}
}

package main_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"mangopier.example/mangopier/internal/protocol/note"
)

// processTimeout only ends tests that hang.
const processTimeout = 60 * time.Second

// fleet is a system of real processes.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	entries  []*exec.Cmd
	callers  []string
}

const processKey = "process-test-key"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopier")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "mangopier.example/mangopier/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

var binaries string

func startFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, dir: t.TempDir()}
	var engines []string
	for i := range 3 {
		engines = append(engines, fleet.standin("engine", "--id", fmt.Sprintf("engine-%d", i), "--decode-tps", "500"))
	}
	desk := fleet.standin("service")
	var instances []string
	var inner []string
	for i := range entries {
		inner = append(inner, freeAddress(t))
		instances = append(instances, fmt.Sprintf(`{"id": "entry-%d", "data-center": "kosice-%d", "peer": %q, "life": "live"}`, i, i%2, inner[i]))
	}
	lists := fleet.write("lists.json", `{"instances": [`+strings.Join(instances, ",")+`]}`)
	fleet.platform = fleet.standin("platform", "--lists", lists)
	fleet.publish(firstNote(engines, desk))
	for i := range entries {
		fleet.startEntry(i, inner[i])
	}
	for i := range entries {
		fleet.await(fmt.Sprintf("entry %d", i), func() bool { return fleet.get(i, "/readyz") == http.StatusOK })
	}
	fleet.await("an answer", func() bool { return fleet.ask(0) == nil })
	return fleet
}

func firstNote(engines []string, desk string) string {
	targets := []string{fmt.Sprintf(`{"id": "desk", "address": %q, "data-center": "kosice-0", "kind": "service", "service": "order-desk"}`, desk)}
	for i, address := range engines {
		targets = append(targets, fmt.Sprintf(`{"id": "engine-%d", "address": %q, "data-center": "kosice-%d", "kind": "engine",
			"models": ["layout"], "role": "mixed", "fences": true}`, i, address, i%2))
	}
	return fmt.Sprintf(`{"after": 0,
		"data-centers": {"set": [{"name": "kosice-0"}, {"name": "kosice-1"}]},
		"models": {"set": [{"name": "layout", "version": "v1"}]},
		"teams": {"set": [{"name": "press"}]},
		"keys": {"set": [{"digest": %q, "team": "press"}]},
		"routes": {"set": [{"path": "/print-orders", "service": "order-desk"}]},
		"targets": {"set": [%s]}}`, note.KeyDigest(processKey), strings.Join(targets, ","))
}

func (fleet *fleet) write(name, content string) string {
	path := filepath.Join(fleet.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return path
}

// standin starts a stand-in and returns the address that it prints.
func (fleet *fleet) standin(args ...string) string {
	command := exec.Command(filepath.Join(binaries, "standin"), args...)
	out, err := command.StdoutPipe()
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.run(command)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		fleet.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (fleet *fleet) run(command *exec.Cmd) {
	if err := command.Start(); err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

func (fleet *fleet) startEntry(number int, inner string) {
	callers := freeAddress(fleet.t)
	settings := fleet.write(fmt.Sprintf("entry-%d.json", number), fmt.Sprintf(`{
		"instance": "entry-%d", "data-center": "kosice-%d", "listen": %q, "peer-listen": %q, "platform": %q,
		"log-level": "error", "timeouts": {"drain-grace-ms": 2000, "lease-ms": 1000, "poll-ms": 100}
	}`, number, number%2, callers, inner, fleet.platform))
	command := exec.Command(filepath.Join(binaries, "mangopier"), "serve", "--settings", settings)
	fleet.run(command)
	fleet.entries = append(fleet.entries, command)
	fleet.callers = append(fleet.callers, callers)
}

// mangopier runs a command of the program and returns what it prints.
func (fleet *fleet) mangopier(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaries, "mangopier"), args...).CombinedOutput()
	return string(out), err
}

func (fleet *fleet) publish(text string) {
	path := fleet.write("note.json", text)
	if out, err := fleet.mangopier("note", "publish", "--platform", fleet.platform, path); err != nil {
		fleet.t.Fatal(out)
	}
}

func (fleet *fleet) get(entry int, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.callers[entry]+path, nil)
	if err != nil {
		fleet.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// refusal is an answer that is not a success.
type refusal struct {
	status int
	run    string
	body   string
}

func (refusal *refusal) Error() string {
	return fmt.Sprintf("status %d, %s: %s", refusal.status, refusal.run, refusal.body)
}

// ask streams an answer and returns an error unless it came whole.
func (fleet *fleet) ask(entry int) error {
	body := `{"model":"layout","messages":[{"role":"user","content":"flow"}],"max_tokens":20,"stream":true}`
	data, err := fleet.post(entry, "/v1/chat/completions", body, "")
	if err == nil && !strings.HasSuffix(strings.TrimSpace(data), "data: [DONE]") {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (fleet *fleet) post(entry int, path, body, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.callers[entry]+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+processKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = &refusal{answer.StatusCode, answer.Header.Get("X-Mangopier-Run"), string(data)}
	}
	return string(data), err
}

func (fleet *fleet) await(what string, holds func() bool) {
	fleet.t.Helper()
	limit := time.Now().Add(processTimeout)
	for !holds() {
		if time.Now().After(limit) {
			fleet.t.Fatalf("%s did not come", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestTerminatedInstanceCutsNothing(t *testing.T) {
	fleet := startFleet(t, 2)
	const streams = 50
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			err := fleet.ask(0)
			var refused *refusal
			if err != nil && (!errors.As(err, &refused) || refused.run != "not-run") {
				t.Errorf("an answer was cut: %v", err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := fleet.entries[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	group.Wait()
	if err := fleet.ask(1); err != nil {
		t.Errorf("the other instance: %v", err)
	}
}

func TestKilledAndPausedInstancesDoNotStopOthers(t *testing.T) {
	fleet := startFleet(t, 3)
	if err := fleet.entries[0].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := fleet.entries[1].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if err := fleet.ask(2); err != nil {
		t.Errorf("the instance left: %v", err)
	}
	fleet.publish(fmt.Sprintf(`{"after": 1, "keys": {"withdraw": [%q]}}`, note.KeyDigest(processKey)))
	fleet.await("the refusal of the withdrawn key", func() bool { return fleet.withdrawn(2) })
	if err := fleet.entries[1].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	fleet.await("the refusal at the resumed instance", func() bool { return fleet.withdrawn(1) })
	out, err := fleet.mangopier("note", "status", "--platform", fleet.platform)
	if err != nil || !strings.Contains(out, "accepted: release note 2") || !strings.Contains(out, "no answer") {
		t.Errorf("note status: %v\n%s", err, out)
	}
}

func (fleet *fleet) withdrawn(entry int) bool {
	var refused *refusal
	return errors.As(fleet.ask(entry), &refused) && strings.Contains(refused.body, "key-withdrawn")
}

func TestOrderRunsOnceOverInstances(t *testing.T) {
	fleet := startFleet(t, 3)
	numbers := make(chan int, 12)
	var group sync.WaitGroup
	for i := range cap(numbers) {
		group.Go(func() {
			data, err := fleet.post(i%3, "/print-orders", "brochures", "job-1")
			var reply struct {
				Order int `json:"order"`
			}
			if err != nil || json.Unmarshal([]byte(data), &reply) != nil {
				t.Errorf("got %q, %v", data, err)
			}
			numbers <- reply.Order
		})
	}
	group.Wait()
	close(numbers)
	for number := range numbers {
		if number != 1 {
			t.Errorf("run %d of the order", number)
		}
	}
}

func TestRacingOperatorsGetAConflict(t *testing.T) {
	fleet := startFleet(t, 1)
	results := make(chan error, 4)
	for i := range cap(results) {
		path := fleet.write(fmt.Sprintf("race-%d.json", i), fmt.Sprintf(`{"after": 1, "comment": "race %d", "teams": {"set": [{"name": "team-%d"}]}}`, i, i))
		go func() {
			out, err := fleet.mangopier("note", "publish", "--platform", fleet.platform, path)
			if err != nil && !strings.Contains(out, "note-conflict") {
				t.Errorf("got %s", out)
			}
			results <- err
		}()
	}
	accepted := 0
	for range cap(results) {
		if <-results == nil {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("%d notes were accepted as number 2", accepted)
	}
}

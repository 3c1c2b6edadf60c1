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

// testTimeout bounds each wait, so that a hanging test fails.
const testTimeout = 60 * time.Second

// deployment is a set of running processes: entry instances, a platform and
// targets.
type deployment struct {
	t               *testing.T
	dir             string
	platformAddress string
	entryProcesses  []*exec.Cmd
	callerAddresses []string
}

const apiKey = "process-test-key"

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mangopier")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "mangopier.example/mangopier/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaryDir = dir
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

var binaryDir string

func startDeployment(t *testing.T, entryCount int) *deployment {
	t.Helper()
	deployment := &deployment{t: t, dir: t.TempDir()}
	var engines []string
	for i := range 3 {
		engines = append(engines, deployment.startStandin("engine", "--id", fmt.Sprintf("engine-%d", i), "--decode-tps", "500"))
	}
	orderDesk := deployment.startStandin("service")
	var instances []string
	var peerAddresses []string
	for i := range entryCount {
		peerAddresses = append(peerAddresses, freeAddress(t))
		instances = append(instances, fmt.Sprintf(`{"id": "entry-%d", "data-center": "kosice-%d", "peer": %q, "life": "live"}`, i, i%2, peerAddresses[i]))
	}
	lists := deployment.writeFile("lists.json", `{"instances": [`+strings.Join(instances, ",")+`]}`)
	deployment.platformAddress = deployment.startStandin("platform", "--lists", lists)
	deployment.publishNote(initialNote(engines, orderDesk))
	for i := range entryCount {
		deployment.startEntry(i, peerAddresses[i])
	}
	for i := range entryCount {
		deployment.waitFor(fmt.Sprintf("readiness of entry-%d", i), func() bool { return deployment.getStatus(i, "/readyz") == http.StatusOK })
	}
	deployment.waitFor("a complete response from entry-0", func() bool { return deployment.streamChat(0) == nil })
	return deployment
}

func initialNote(engines []string, orderDesk string) string {
	targets := []string{fmt.Sprintf(`{"id": "desk", "address": %q, "data-center": "kosice-0", "kind": "service", "service": "order-desk"}`, orderDesk)}
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
		"targets": {"set": [%s]}}`, note.KeyDigest(apiKey), strings.Join(targets, ","))
}

func (deployment *deployment) writeFile(name, content string) string {
	path := filepath.Join(deployment.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		deployment.t.Fatal(err)
	}
	return path
}

// startStandin starts a standin process and returns its address.
func (deployment *deployment) startStandin(args ...string) string {
	command := exec.Command(filepath.Join(binaryDir, "standin"), args...)
	out, err := command.StdoutPipe()
	if err != nil {
		deployment.t.Fatal(err)
	}
	deployment.startProcess(command)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		deployment.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func (deployment *deployment) startProcess(command *exec.Cmd) {
	if err := command.Start(); err != nil {
		deployment.t.Fatal(err)
	}
	deployment.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

func (deployment *deployment) startEntry(number int, peerAddress string) {
	callerAddress := freeAddress(deployment.t)
	settings := deployment.writeFile(fmt.Sprintf("entry-%d.json", number), fmt.Sprintf(`{
		"instance": "entry-%d", "data-center": "kosice-%d", "listen": %q, "peer-listen": %q, "platform": %q,
		"log-level": "error", "timeouts": {"drain-grace-ms": 2000, "lease-ms": 1000, "poll-ms": 100}
	}`, number, number%2, callerAddress, peerAddress, deployment.platformAddress))
	command := exec.Command(filepath.Join(binaryDir, "mangopier"), "serve", "--settings", settings)
	deployment.startProcess(command)
	deployment.entryProcesses = append(deployment.entryProcesses, command)
	deployment.callerAddresses = append(deployment.callerAddresses, callerAddress)
}

// runMangopier runs a mangopier command and returns its combined output.
func (deployment *deployment) runMangopier(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binaryDir, "mangopier"), args...).CombinedOutput()
	return string(out), err
}

func (deployment *deployment) publishNote(text string) {
	path := deployment.writeFile("note.json", text)
	if out, err := deployment.runMangopier("note", "publish", "--platform", deployment.platformAddress, path); err != nil {
		deployment.t.Fatal(out)
	}
}

func (deployment *deployment) getStatus(entry int, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+deployment.callerAddresses[entry]+path, nil)
	if err != nil {
		deployment.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// statusError is a response with a status other than 200.
type statusError struct {
	status    int
	runStatus string
	body      string
}

func (statusError *statusError) Error() string {
	return fmt.Sprintf("status %d, %s: %s", statusError.status, statusError.runStatus, statusError.body)
}

// streamChat requests a streamed completion and returns an error unless the
// stream is complete.
func (deployment *deployment) streamChat(entry int) error {
	body := `{"model":"layout","messages":[{"role":"user","content":"flow"}],"max_tokens":20,"stream":true}`
	data, err := deployment.post(entry, "/v1/chat/completions", body, "")
	if err == nil && !strings.HasSuffix(strings.TrimSpace(data), "data: [DONE]") {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (deployment *deployment) post(entry int, path, body, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+deployment.callerAddresses[entry]+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &statusError{response.StatusCode, response.Header.Get("X-Mangopier-Run"), string(data)}
	}
	return string(data), err
}

func (deployment *deployment) waitFor(description string, condition func() bool) {
	deployment.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			deployment.t.Fatalf("timed out waiting for %s", description)
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

// SIGTERM must drain the streams in flight. A request that arrives during the
// shutdown may be refused, but only with run status not-run, so that the caller
// can repeat it safely.
func TestSIGTERMAbortsNoStream(t *testing.T) {
	deployment := startDeployment(t, 2)
	const streams = 50
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			err := deployment.streamChat(0)
			var statusErr *statusError
			if err != nil && (!errors.As(err, &statusErr) || statusErr.runStatus != "not-run") {
				t.Errorf("streamChat(0) during SIGTERM = %v, want nil or run status not-run", err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := deployment.entryProcesses[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	group.Wait()
	if err := deployment.streamChat(1); err != nil {
		t.Errorf("streamChat(1) = %v, want nil", err)
	}
}

// One instance is killed and another suspended with SIGSTOP; the third must keep
// serving and apply a withdrawn key. The suspended one must refuse the key too,
// once it resumes.
func TestInstanceServesWhilePeersAreKilledOrPaused(t *testing.T) {
	deployment := startDeployment(t, 3)
	if err := deployment.entryProcesses[0].Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := deployment.entryProcesses[1].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	if err := deployment.streamChat(2); err != nil {
		t.Errorf("streamChat(2) = %v, want nil", err)
	}
	deployment.publishNote(fmt.Sprintf(`{"after": 1, "keys": {"withdraw": [%q]}}`, note.KeyDigest(apiKey)))
	deployment.waitFor("entry-2 to refuse the withdrawn key", func() bool { return deployment.refusesWithdrawnKey(2) })
	if err := deployment.entryProcesses[1].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	deployment.waitFor("entry-1 to refuse the withdrawn key after SIGCONT", func() bool { return deployment.refusesWithdrawnKey(1) })
	out, err := deployment.runMangopier("note", "status", "--platform", deployment.platformAddress)
	if err != nil || !strings.Contains(out, "accepted: release note 2") || !strings.Contains(out, "no answer") {
		t.Errorf("note status = %v, want release note 2 accepted and one instance without answer; output:\n%s", err, out)
	}
}

// refusesWithdrawnKey reports whether an entry instance refuses the key of the
// tests as withdrawn.
func (deployment *deployment) refusesWithdrawnKey(entry int) bool {
	var statusErr *statusError
	return errors.As(deployment.streamChat(entry), &statusErr) && strings.Contains(statusErr.body, "key-withdrawn")
}

// Requests with the same idempotency key must run once in all, even when they
// arrive at several instances at the same time.
func TestIdempotentRequestRunsOnceAcrossInstances(t *testing.T) {
	deployment := startDeployment(t, 3)
	runNumbers := make(chan int, 12)
	var group sync.WaitGroup
	for i := range cap(runNumbers) {
		group.Go(func() {
			data, err := deployment.post(i%3, "/print-orders", "brochures", "job-1")
			var reply struct {
				RunNumber int `json:"order"`
			}
			if err != nil || json.Unmarshal([]byte(data), &reply) != nil {
				t.Errorf("POST /print-orders = %q, %v, want a run number", data, err)
			}
			runNumbers <- reply.RunNumber
		})
	}
	group.Wait()
	close(runNumbers)
	for runNumber := range runNumbers {
		if runNumber != 1 {
			t.Errorf("run number = %d, want 1", runNumber)
		}
	}
}

// Of several notes published at once with the same predecessor, one is accepted
// and the others fail with note-conflict.
func TestConcurrentPublishAcceptsOneNote(t *testing.T) {
	deployment := startDeployment(t, 1)
	results := make(chan error, 4)
	for i := range cap(results) {
		path := deployment.writeFile(fmt.Sprintf("race-%d.json", i), fmt.Sprintf(`{"after": 1, "comment": "race %d", "teams": {"set": [{"name": "team-%d"}]}}`, i, i))
		go func() {
			out, err := deployment.runMangopier("note", "publish", "--platform", deployment.platformAddress, path)
			if err != nil && !strings.Contains(out, "note-conflict") {
				t.Errorf("note publish failed with %s, want note-conflict", out)
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
		t.Errorf("accepted notes with number 2 = %d, want 1", accepted)
	}
}

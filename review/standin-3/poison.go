package main

import (
	"fmt"
	"sync"
	"time"
)

// restarts starts a runner again under its ID a while after each of its ends.
type restarts struct {
	site    *site
	after   time.Duration
	mutex   sync.Mutex
	crashes []time.Time
	stopped chan struct{}
}

// keep watches a runner until stopped is closed.
func (restarts *restarts) keep(runner *runnerProcess, start func(earlier *runnerProcess) (*runnerProcess, error)) {
	for {
		select {
		case <-runner.ended:
		case <-restarts.stopped:
			return
		}
		restarts.mutex.Lock()
		restarts.crashes = append(restarts.crashes, time.Now())
		restarts.mutex.Unlock()
		restarts.site.record.printf("runner %s has ended", runner.id)
		select {
		case <-time.After(restarts.after):
		case <-restarts.stopped:
			return
		}
		next, err := start(runner)
		if err != nil {
			restarts.site.record.printf("runner %s does not start: %v", runner.id, err)
			return
		}
		runner = next
	}
}

// lastCrash returns the time of the fifth crash, or the last if there are fewer.
func (restarts *restarts) lastCrash() (time.Time, int) {
	restarts.mutex.Lock()
	defer restarts.mutex.Unlock()
	count := len(restarts.crashes)
	if count == 0 {
		return time.Time{}, 0
	}
	return restarts.crashes[min(count, 5)-1], count
}

// deadlyPart has one part of a prompt crash each runner that begins to write an answer on it.
// Sound requests have the other parts of these prompts.
func deadlyPart(site *site) (broken bool, err error) {
	const (
		pause    = 100 * time.Millisecond
		back     = 3 * time.Second
		before   = 6 * time.Second
		length   = 22 * time.Second
		interval = 100 * time.Millisecond
		one      = 20 // of so many requests is deadly
		deadly   = "d1d1d1d1"
	)
	site.publish(1)
	for range 10 {
		if err := site.addRunner("llm", "prefill", "v1", pause); err != nil {
			return false, err
		}
	}
	start := func(earlier *runnerProcess) (*runnerProcess, error) {
		return site.startRunner(earlier, "llm", "decode", "v1", pause, "-deadly", deadly)
	}
	restarts := &restarts{site: site, after: back, stopped: make(chan struct{})}
	defer close(restarts.stopped)
	for range 2 {
		runner, err := start(nil)
		if err != nil {
			return false, err
		}
		go restarts.keep(runner, start)
	}
	if err := site.startInstances(3); err != nil {
		return false, err
	}
	if err := site.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	var asking sync.WaitGroup
	sent := 0
	send := func(prompt prompt) *consumerStream {
		sent++
		stream, instance := &consumerStream{name: fmt.Sprintf("c%d", sent)}, site.instances[sent%len(site.instances)]
		asking.Go(func() { site.ask(stream, instance, prompt, 15*time.Second) })
		time.Sleep(interval)
		return stream
	}
	var calm, sound []*consumerStream
	for end := time.Now().Add(before); time.Now().Before(end); {
		calm = append(calm, send(prompt{"/once/1", []string{"a0a0a0a0", "50505050"}, 5}))
	}
	site.record.printf("the team's prompts have another part from now on")
	var lastDeadly time.Time
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		if site.trouble && i%one == one/2 {
			lastDeadly = time.Now()
			send(prompt{"/once/1", []string{deadly, "51515151"}, 80})
			continue
		}
		sound = append(sound, send(prompt{"/once/1", []string{"a0a0a0a0", "51515151"}, 80}))
	}
	asking.Wait()
	last, crashes := restarts.lastCrash()
	if !site.trouble {
		last, lastDeadly = sound[0].tries[0].sentAt, time.Now()
	} else if crashes == 0 {
		return false, fmt.Errorf("no runner crashed")
	}
	calmCount, calmBegun := begunBetween(calm, time.Time{}, time.Now())
	count, begun := begunBetween(sound, last.Add(2*contact), lastDeadly)
	if calmCount < 20 || count < 20 || calmBegun == 0 {
		return false, fmt.Errorf("%d of %d sound requests began before and %d of %d later", calmBegun, calmCount, begun, count)
	}
	broken = 2*begun*calmCount < calmBegun*count
	site.conclude("%d crashes; sound requests that began at the first attempt: %d of %d before, %d of %d from 2 x ContactMs after the crashes on; the rule is broken below half of that share", crashes, calmBegun, calmCount, begun, count)
	return broken, nil
}

// begunBetween returns the number of streams that were sent between two times, and of those that
// began at the first attempt.
func begunBetween(streams []*consumerStream, from, until time.Time) (count, begun int) {
	for _, stream := range streams {
		if try := stream.tries[0]; try.sentAt.After(from) && try.sentAt.Before(until) {
			count++
			if len(try.events) > 0 {
				begun++
			}
		}
	}
	return count, begun
}

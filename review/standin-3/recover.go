package main

import (
	"fmt"
	"sync"
	"time"
)

// crashedRack kills all instances, and has a rack of model runners crash once, soon after the
// instances are back.
func crashedRack(site *site) (broken bool, err error) {
	const (
		pause    = 100 * time.Millisecond
		tokens   = 50
		before   = 14 * time.Second
		down     = time.Second
		serving  = 3 * time.Second // from the return of the instances to the crash
		back     = 3 * time.Second
		recovery = 12 * time.Second // RecoveryS
		after    = 24 * time.Second
		interval = 100 * time.Millisecond
	)
	site.publish(1)
	for range 15 {
		if err := site.addRunner("llm", "prefill", "v1", pause); err != nil {
			return false, err
		}
	}
	var rack []*runnerProcess
	for range 3 {
		runner, err := site.startRunner(nil, "llm", "decode", "v1", pause)
		if err != nil {
			return false, err
		}
		rack = append(rack, runner)
	}
	if err := site.startInstances(3); err != nil {
		return false, err
	}
	if err := site.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	var asking sync.WaitGroup
	var streams []*consumerStream
	sendFor := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
			stream := &consumerStream{name: fmt.Sprintf("c%d", len(streams)+1)}
			instance := site.instances[len(streams)%len(site.instances)]
			ask := prompt{"/once/1", []string{"a0a0a0a0", fmt.Sprintf("d0c%05x", len(streams)%30)}, tokens}
			streams = append(streams, stream)
			asking.Go(func() { site.ask(stream, instance, ask, 10*time.Second) })
		}
	}
	sendFor(before)
	faultAt := time.Now()
	if site.trouble {
		for _, instance := range site.instances {
			_ = instance.process.Process.Kill()
		}
		for _, instance := range site.instances {
			site.kill(instance)
		}
		sendFor(down)
		for _, instance := range site.instances {
			if err := site.startInstance(instance, false); err != nil {
				return false, err
			}
		}
	}
	backAt := time.Now()
	sendFor(serving)
	if site.trouble {
		for _, runner := range rack {
			_ = runner.process.Process.Kill()
		}
		for _, runner := range rack {
			site.killRunner(runner)
		}
	}
	sendFor(back)
	if site.trouble {
		for _, runner := range rack {
			if _, err := site.startRunner(runner, "llm", "decode", "v1", pause); err != nil {
				return false, err
			}
		}
	}
	sendFor(after - back - serving)
	asking.Wait()
	served := func(from, until time.Time) (count, complete int) {
		for _, stream := range streams {
			if try := stream.tries[0]; try.sentAt.After(from) && try.sentAt.Before(until) {
				count++
				if try.complete {
					complete++
				}
			}
		}
		return count, complete
	}
	countBefore, servedBefore := served(time.Time{}, faultAt)
	count, complete := served(backAt.Add(recovery), time.Now())
	if 4*servedBefore < countBefore {
		return false, fmt.Errorf("only %d of %d requests were served before the fault", servedBefore, countBefore)
	}
	site.conclude("served: %d of %d requests before the final fault, %d of %d sent later than RecoveryS after the instances were back; the rule is broken below a quarter", servedBefore, countBefore, complete, count)
	return 4*complete < count, nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// orderBound is the number of streams with events of two versions that the rule allows.
const orderBound = 2

// restartedRunner has a model runner start again under its ID with another version of its
// software while the platform's store is down, and crash later on.
func restartedRunner(site *site) (broken bool, err error) {
	const (
		events = 30
		pause  = 100 * time.Millisecond
		outage = 8 * time.Second
		boot   = time.Second
	)
	site.publish(1)
	var decoders []*runnerProcess
	for i, stage := range []string{"prefill", "prefill", "prefill", "prefill", "decode", "decode"} {
		runner, err := site.startRunner(nil, "llm", stage, "v1", pause)
		if err != nil {
			return false, err
		}
		if i >= 4 {
			decoders = append(decoders, runner)
		}
	}
	if err := site.startInstances(3); err != nil {
		return false, err
	}
	if err := site.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var streams []*consumerStream
	var asking sync.WaitGroup
	send := func() {
		stream := &consumerStream{name: fmt.Sprintf("c%d", len(streams)+1)}
		instance := site.instances[len(streams)%len(site.instances)]
		streams = append(streams, stream)
		asking.Go(func() { site.ask(stream, instance, prompt{"/talk/1", []string{"5c1e07a2"}, events}, 15*time.Second) })
	}
	sendFor := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
			send()
		}
	}
	sendFor(3 * time.Second)
	victim := decoders[0]
	if site.trouble {
		site.record.printf("the store is down")
		site.store.setDown(true)
		time.AfterFunc(outage, func() {
			site.store.setDown(false)
			site.record.printf("the store is back")
		})
		sendFor(500 * time.Millisecond)
		site.killRunner(victim)
		sendFor(boot)
		if victim, err = site.startRunner(victim, "llm", "decode", "v2", pause); err != nil {
			return false, err
		}
	} else {
		sendFor(500*time.Millisecond + boot)
	}
	sendFor(5 * time.Second)
	if site.trouble {
		site.killRunner(victim)
		sendFor(boot)
		if _, err = site.startRunner(victim, "llm", "decode", "v2", pause); err != nil {
			return false, err
		}
	} else {
		sendFor(boot)
	}
	sendFor(4 * time.Second)
	asking.Wait()
	complete, mixed := 0, 0
	for _, stream := range streams {
		if stream.tries[0].complete {
			complete++
		}
		if versions := stream.versions(); len(versions) > 1 {
			mixed++
			site.record.printf("stream %s holds events of the versions %v", stream.name, versions)
		}
	}
	if complete == 0 {
		return false, fmt.Errorf("none of %d streams was complete", len(streams))
	}
	site.conclude("%d streams, %d complete; %d hold events of two software versions, the rule allows %d", len(streams), complete, mixed, orderBound)
	return mixed > orderBound, nil
}

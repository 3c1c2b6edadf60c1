package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// spoiledAnswers has the model runners that decode spoil a few of their answers: they have another status and
// bytes, and no signature.
func spoiledAnswers(site *site) (broken bool, err error) {
	const (
		pause    = 10 * time.Millisecond
		length   = 16 * time.Second
		interval = 25 * time.Millisecond
		one      = "40" // of so many answers is spoiled
	)
	site.publish(1)
	for range 10 {
		if err := site.addRunner("llm", "prefill", "v1", pause); err != nil {
			return false, err
		}
	}
	for range 2 {
		var flags []string
		if site.trouble {
			flags = []string{"-spoil", one}
		}
		if _, err := site.startRunner(nil, "llm", "decode", "v1", pause, flags...); err != nil {
			return false, err
		}
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
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		stream := &consumerStream{name: fmt.Sprintf("c%d", len(streams)+1)}
		instance, path := site.instances[len(streams)%len(site.instances)], []string{"/talk/1", "/once/1"}[len(streams)/3%2]
		streams = append(streams, stream)
		ask := prompt{path, []string{fmt.Sprintf("d0c%05x", len(streams)%30)}, 5}
		asking.Go(func() { site.ask(stream, instance, ask, 6*time.Second) })
	}
	asking.Wait()
	complete, unsigned := 0, 0
	for _, stream := range streams {
		switch try := stream.tries[0]; {
		case try.status >= http.StatusOK && try.status < http.StatusMultipleChoices && !try.signed:
			unsigned++
			site.record.printf("consumer %s got the success %d without a signature", stream.name, try.status)
		case try.complete:
			complete++
		}
	}
	if complete == 0 {
		return false, fmt.Errorf("none of %d streams was complete", len(streams))
	}
	site.conclude("%d streams, %d complete; %d successes without the runner's signature, the rule allows none", len(streams), complete, unsigned)
	return unsigned > 0, nil
}

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	contact = 3 * time.Second // ContactMs of the settings
	// takeUpMinimum is the number of streams taken up from which on the rule holds.
	takeUpMinimum = 12
)

// killedInstances kills all instances at once while runners of two software versions serve, and
// has consumers take their streams up again once the instances are in touch. Without the
// trouble, the consumers' channels break and the instances live on.
func killedInstances(site *site) (broken bool, err error) {
	const (
		events  = 100
		pause   = 120 * time.Millisecond
		down    = time.Second
		streams = 30
	)
	site.publish(1)
	for i, stage := range []string{"decode", "decode", "decode", "decode"} {
		if err := site.addRunner("llm", stage, fmt.Sprint("v", 1+i%2), pause); err != nil {
			return false, err
		}
	}
	for i := range 18 { // a sixth of the engines decode
		if err := site.addRunner("llm", "prefill", fmt.Sprint("v", 1+i%2), pause); err != nil {
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
	ask := prompt{"/talk/1", []string{"5c1e07a2"}, events}
	cut, cutChannels := context.WithCancel(context.Background())
	defer cutChannels()
	begun := make([]*consumerStream, streams)
	var asking sync.WaitGroup
	for i := range begun {
		begun[i] = &consumerStream{name: fmt.Sprintf("c%d", i+1)}
		instance, budget := site.instances[i%len(site.instances)], time.Now().Add(15*time.Second)
		asking.Go(func() { site.askUntil(cut, begun[i], instance, ask, time.Until(budget)) })
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Second)
	budgets := time.Now().Add(12 * time.Second) // at least what is left to each consumer
	if site.trouble {
		for _, instance := range site.instances {
			_ = instance.process.Process.Kill()
		}
		for _, instance := range site.instances {
			site.kill(instance)
		}
	} else {
		site.record.printf("the channels of the consumers break")
		cutChannels()
	}
	killedAt := time.Now()
	asking.Wait()
	if site.trouble {
		time.Sleep(time.Until(killedAt.Add(down)))
		for _, instance := range site.instances {
			if err := site.startInstance(instance, false); err != nil {
				return false, err
			}
		}
	}
	// The consumers try again after 0.5, 2 and 5 s.
	results := make([]*streamTry, streams)
	for i, stream := range begun {
		if stream.last() == 0 || stream.tries[0].complete {
			continue
		}
		asking.Go(func() {
			for try, after := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
				time.Sleep(time.Until(killedAt.Add(after)))
				instance := site.instances[(i+1+try)%len(site.instances)]
				touched := !site.trouble || time.Since(instance.startedAt) > contact
				result := site.ask(stream, instance, ask, time.Until(budgets))
				if touched {
					results[i] = result
				}
				if len(result.events) > 0 {
					return
				}
			}
		})
	}
	// New streams begin at the same instances.
	time.Sleep(time.Until(killedAt.Add(5 * time.Second)))
	fresh := make([]*streamTry, 20)
	for i := range fresh {
		asking.Go(func() {
			stream := &consumerStream{name: fmt.Sprintf("new-%d", i+1)}
			fresh[i] = site.ask(stream, site.instances[i%len(site.instances)], ask, 3*time.Second)
		})
		time.Sleep(50 * time.Millisecond)
	}
	asking.Wait()
	takenUp, wentOn, began := 0, 0, 0
	for _, try := range results {
		if try == nil {
			continue
		}
		takenUp++
		if len(try.events) > 0 {
			wentOn++
		}
	}
	for _, try := range fresh {
		if len(try.events) > 0 {
			began++
		}
	}
	if began == 0 || (site.trouble && takenUp < takeUpMinimum) {
		return false, fmt.Errorf("%d of %d new streams began, %d were taken up at instances in touch", began, len(fresh), takenUp)
	}
	broken = takenUp >= takeUpMinimum && 2*wentOn*len(fresh) < takenUp*began
	site.conclude("%d streams taken up at instances in touch, %d went on; %d of %d new ones began: the rule is broken below half of that share", takenUp, wentOn, began, len(fresh))
	return broken, nil
}

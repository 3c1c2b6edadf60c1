// Command standin-3 holds the stand-ins of consumers, runners and the platform for the scripts of
// the third review, and plays these.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit statuses of a script.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// scriptTimeout ends a script that hangs.
const scriptTimeout = 110 * time.Second

// scripts are the cases by the name of their folder. Each reports whether the rule was broken.
var scripts = map[string]func(site *site) (broken bool, err error){
	"recover": crashedRack,
	"order":   restartedRunner,
	"poison":  deadlyPart,
	"takeups": killedInstances,
	"mixed":   spoiledAnswers,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCRIPT FOLDER")
		os.Exit(couldNotRun)
	}
	go func() { os.Exit(play(os.Args[1], os.Args[2])) }()
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}

func play(script, folder string) int {
	site, err := newSite(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer site.stop()
	time.AfterFunc(scriptTimeout, func() {
		fmt.Println("could not run: the script took too long")
		site.stop()
		os.Exit(couldNotRun)
	})
	broken, err := scripts[script](site)
	switch {
	case err != nil:
		site.record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	case broken:
		return ruleBroken
	default:
		return ruleHeld
	}
}

// conclude writes a line of the result to the record and the output.
func (site *site) conclude(format string, arguments ...any) {
	site.record.printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

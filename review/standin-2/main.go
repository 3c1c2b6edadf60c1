// Command standin runs the cases of the second review: stand-ins of the platform, of
// runners and of consumers, and processes of the program under review. It exits with 1
// if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

var cases = map[string]func(s *site, trouble bool) bool{
	"usage-after-drill": usageAfterDrill,
	"upgrade-in-place":  upgradeInPlace,
	"power-loss":        powerLossAndDrill,
	"take-up":           takeUpAfterKill,
}

func runCase(name, folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = record.Close() }()
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s := newSite(record)
	defer s.stop()
	defer func() {
		if cause := recover(); cause != nil {
			s.log("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			status = 2
		}
	}()
	if run(s, trouble) {
		fmt.Println("the rule held")
		return 0
	}
	fmt.Println("the rule was broken; see record.txt")
	return 1
}

// Command drill plays the scripted cases of the review. Each case starts the project's
// gateway as separate processes, with stand-ins of the platform's store, of engines
// and of clients in this process, and checks one rule.
//
// # Usage
//
//	drill NAME RECORD
//
// NAME is the name of a case, and RECORD the file for what was sent, answered and run.
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
)

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*drill) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: drill NAME RECORD; the names are %s\n", strings.Join(names, ", "))
		return exitNotRun
	}
	d, err := newDrill(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		d.notef("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.notef("result: the rule was broken")
		return exitBroken
	}
	d.notef("result: the rule held")
	return exitHeld
}

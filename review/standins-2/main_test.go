// Package standins runs one case of the second independent review: it starts the system's nodes
// and stand-ins for the platform around them, and checks one rule. Its files are test files, and
// review/build-2.sh compiles them, so that the checks of the project's own source pass over them.
package standins

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scenarios by name. Each returns whether the rule held, or an error if it
// could not run.
var cases = map[string]func(f *fleet, trouble bool) (held bool, err error){
	"faulty":   faultyEngine,
	"limit":    hugeLimit,
	"orders":   lateOrders,
	"unframed": unframedStreams,
	"parts":    deadlyPart,
}

// TestMain runs the case that the first argument names; the second one is the record's path.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standins-2 NAME RECORD")
		os.Exit(2)
	}
	scenario := cases[os.Args[1]]
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	held, err := scenario(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case did not run: %v", err)
	case held:
		f.note("the rule held")
	default:
		f.note("the rule is broken")
	}
	f.end()
	switch {
	case err != nil:
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}

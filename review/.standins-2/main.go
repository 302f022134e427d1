// Command cases runs one case of the second independent review: it starts the system's nodes
// and stand-ins for the platform around them, and checks one rule.
package main

import (
	"fmt"
	"os"
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

func main() {
	scenario, known := cases[os.Args[1]]
	if !known || len(os.Args) != 3 {
		fmt.Println("usage: cases NAME RECORD")
		os.Exit(2)
	}
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

// Package main runs one case of the third independent review: it starts nodes of the deploy file's
// program with stand-ins of the platform, of servers and of clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"testing"
)

// cases returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) bool{
	"deadly-part":     deadlyPartCase,
	"long-id":         longIDCase,
	"poison-query":    poisonQuery,
	"slow-reader":     slowReader,
	"foreign-entries": foreignEntriesCase,
}

// TestMain takes the place of main: the stand-ins are built as a test, since they use the names of
// the platform.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: case NAME RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := newFleet(os.Args[2])
	held := cases[os.Args[1]](f, trouble)
	verdict := "the rule held"
	if !held {
		verdict = "the rule was broken"
	}
	f.record.write("trouble %v: %s", trouble, verdict)
	fmt.Printf("trouble %v: %s\n", trouble, verdict)
	f.close()
	if !held {
		os.Exit(1)
	}
	os.Exit(0)
}

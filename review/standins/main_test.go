// Package standins runs the cases of the review that cannot be put as a day of the bench: it
// starts the project's program as separate processes on loopback addresses, with stand-ins of
// the platform, engines and clients. review/build.sh builds it as a test binary, since only tests
// may name what the platform's pages name. Exit code 1: the rule was broken; 0: it held; 2: the
// case could not run.
package standins

import (
	"os"
	"testing"
)

// cases run with the disruption or without it, and say whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, seen string){}

// TestMain runs the case that the first argument names, and writes its record to the file that
// the second one names.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail(2, "usage: standins CASE RECORD")
	}
	record := newRecorder(os.Args[2])
	f := newFleet(record)
	broken, seen := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	record.say("result: broken %v: %s", broken, seen)
	stopAll()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	if broken {
		fail(1, "broken: %s", seen)
	}
	fail(0, "held: %s", seen)
}

package configurator_test

import "flag"

// rewriteRequested reports whether the tests run with -rewrite, the flag that
// package datadriven declares.
func rewriteRequested() bool {
	rewrite := flag.Lookup("rewrite")
	return rewrite != nil && rewrite.Value.String() == "true"
}

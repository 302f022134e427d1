package configurator_test

import "flag"

// datadrivenRewrite tells whether the tests were run with -rewrite, the flag
// that package datadriven declares.
func datadrivenRewrite() bool {
	rewrite := flag.Lookup("rewrite")
	return rewrite != nil && rewrite.Value.String() == "true"
}

// Package emulator provides in-memory fakes of the outside systems: the platform's
// object API, language-model engines and plain services. The demo and the tests
// run against them. Checkers read the fakes' own counts, because a bug in the
// router can falsify the router's counts as well.
//
// A fake keeps its state in memory. Faults are injected from code; the platform
// also accepts them over HTTP under /faults.
package emulator

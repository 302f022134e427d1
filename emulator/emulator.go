// Package emulator holds small stand-ins of the outside systems: the platform's
// object API, language-model engines and plain services. The demo and the tests
// run against them, and checkers read the stand-ins' own counts, because a
// fault of the router would show in the router's counts as well.
//
// A stand-in keeps its state in memory and takes its faults from code or over
// HTTP under /faults.
package emulator

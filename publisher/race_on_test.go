//go:build race

package publisher_test

// raceDetector tells that the test runs with the race detector, which takes ten
// times the processor time. Cells that differ in the way the store fails only
// run without it.
const raceDetector = true

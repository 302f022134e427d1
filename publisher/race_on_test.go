//go:build race

package publisher_test

// raceDetector is true with the race detector, which takes ten times the CPU
// time. Tests then skip cases that differ only in how the store fails.
const raceDetector = true

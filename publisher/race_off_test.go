//go:build !race

package publisher_test

// raceDetector is false without the race detector.
const raceDetector = false

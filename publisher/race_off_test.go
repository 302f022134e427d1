//go:build !race

package publisher_test

// raceDetector tells that the test runs with the race detector.
const raceDetector = false

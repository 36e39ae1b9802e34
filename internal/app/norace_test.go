//go:build !race

package app

// raceDetector says whether the tests run under the race detector.
const raceDetector = false

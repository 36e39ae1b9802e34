//go:build race

package app

// raceDetector reports whether the race detector is enabled in this build.
const raceDetector = true

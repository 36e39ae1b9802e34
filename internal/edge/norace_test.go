//go:build !race

package edge

// raceDetector reports whether the race detector is enabled in this build.
const raceDetector = false

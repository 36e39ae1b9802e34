//go:build !race

package heartbeat

// raceDetector reports whether the race detector is enabled in this build.
const raceDetector = false

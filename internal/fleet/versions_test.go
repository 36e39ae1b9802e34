package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// versionRegistry is a registry that is current each second.
type versionRegistry struct {
	*Registry
	now time.Time
}

// pass lets time pass while the entries are followed.
func (r *versionRegistry) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		r.RecordCurrent(r.now)
	}
	r.RecordCurrent(r.now)
}

// set replaces the endpoints of service "s" by one of each version.
func (r *versionRegistry) set(versions ...string) {
	entries := []Entry{{ID: "other", Endpoint: &Endpoint{ID: "other", Service: "t", SoftwareVersion: "v9", DataCentre: "north-a"}}}
	for _, v := range versions {
		entries = append(entries, Entry{ID: "i-" + v, Endpoint: &Endpoint{ID: "i-" + v, Service: "s", SoftwareVersion: v, DataCentre: "north-a"}})
	}
	r.Replace(entries, r.now)
}

func (r *versionRegistry) sole() string {
	return r.Versions("s", time.Minute, r.now).Sole
}

func TestSoleVersion(t *testing.T) {
	r := versionRegistry{NewRegistry(map[string]string{"north-a": "north"}), time.Now()}
	require.Empty(t, r.sole(), "nothing is known")
	r.set("v1")
	r.pass(59 * time.Second)
	require.Empty(t, r.sole(), "an earlier version may have left before")
	r.pass(time.Second)
	require.Equal(t, "v1", r.sole())
	r.set("v1", "v2")
	require.Empty(t, r.sole())
	r.set("v2")
	r.pass(time.Minute)
	require.Empty(t, r.sole(), "v1 left a minute ago")
	r.pass(time.Second)
	require.Equal(t, "v2", r.sole())
	r.set()
	require.Equal(t, "v2", r.sole(), "the last endpoint has just left")
	r.pass(2 * time.Minute)
	require.Empty(t, r.sole())
}

// TestCurrentVersion checks what a gateway knows that hasn't followed the entries for long, and one
// that was cut off.
func TestCurrentVersion(t *testing.T) {
	r := versionRegistry{NewRegistry(map[string]string{"north-a": "north"}), time.Now()}
	versions := func() streamversion.ServiceVersions { return r.Versions("s", time.Minute, r.now) }
	r.set("v1")
	require.Equal(t, streamversion.ServiceVersions{}, versions(), "the entries may be out of date")
	r.pass(time.Second)
	require.Equal(t, streamversion.ServiceVersions{Current: "v1"}, versions())
	r.set("v1", "v2")
	require.Equal(t, streamversion.ServiceVersions{HasSeveral: true}, versions())
	r.set("v2")
	require.Equal(t, streamversion.ServiceVersions{Current: "v2", HasSeveral: true}, versions())
	r.pass(time.Minute + time.Second)
	require.Equal(t, streamversion.ServiceVersions{Sole: "v2", Current: "v2"}, versions())
	r.now = r.now.Add(StoreOutageAfter + time.Second)
	require.Equal(t, streamversion.ServiceVersions{}, versions())
	r.set("v2", "v3")
	require.Equal(t, streamversion.ServiceVersions{HasSeveral: true}, versions(), "several were there, whatever came since")
}

// TestSoleVersionNeedsEntriesWithoutAGap guards against a version that came and left while the
// store was away.
func TestSoleVersionNeedsEntriesWithoutAGap(t *testing.T) {
	r := versionRegistry{NewRegistry(map[string]string{"north-a": "north"}), time.Now()}
	r.set("v1")
	r.pass(2 * time.Minute)
	require.Equal(t, "v1", r.sole())
	r.now = r.now.Add(3 * time.Second)
	require.Empty(t, r.sole(), "the entries are out of date")
	r.pass(30 * time.Second)
	require.Empty(t, r.sole())
	r.pass(30 * time.Second)
	require.Equal(t, "v1", r.sole())
}

// TestVersionsOfReplacedEntriesCount covers an endpoint that restarts under its id with other
// software, and one whose entry becomes invalid.
func TestVersionsOfReplacedEntriesCount(t *testing.T) {
	for name, replace := range map[string]func(r *versionRegistry){
		"restarted": func(r *versionRegistry) {
			r.Apply([]Entry{{ID: "i-v1", Endpoint: &Endpoint{ID: "i-v1", Incarnation: 2, Service: "s", SoftwareVersion: "v2", DataCentre: "north-a"}}}, r.now)
		},
		"invalid": func(r *versionRegistry) {
			r.Apply([]Entry{{ID: "i-v1"}, {ID: "i-v2", Endpoint: &Endpoint{ID: "i-v2", Service: "s", SoftwareVersion: "v2", DataCentre: "north-a"}}}, r.now)
		},
		"its data centre is gone": func(r *versionRegistry) {
			r.SetRegions(map[string]string{"north-b": "north"}, r.now)
			r.Apply([]Entry{{ID: "i-v2", Endpoint: &Endpoint{ID: "i-v2", Service: "s", SoftwareVersion: "v2", DataCentre: "north-b"}}}, r.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := versionRegistry{NewRegistry(map[string]string{"north-a": "north"}), time.Now()}
			r.set("v1")
			r.pass(time.Minute)
			require.Equal(t, "v1", r.sole())
			replace(&r)
			require.Empty(t, r.sole())
			r.pass(61 * time.Second)
			require.Equal(t, "v2", r.sole())
		})
	}
}

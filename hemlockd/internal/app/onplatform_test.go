package app

import (
	"testing"

	inforce "hemlockmux.example/hemlockd/internal/directory"
	"hemlockmux.example/platform"
)

// TestCallsReachUpstreamsAsFastAsTheDirectoryAssumes guards the last hop of a change of the
// list of upstreams: the time to connect and the way to another region.
func TestCallsReachUpstreamsAsFastAsTheDirectoryAssumes(t *testing.T) {
	const longestWayMs = 100
	if sum := platform.ServerDialTimeout + longestWayMs; sum > inforce.CallReach {
		t.Errorf("a call may take %d ms to reach an upstream, the directory assumes %d", sum, inforce.CallReach)
	}
}

package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"

	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/streamversions"
)

// fakeVersions knows the versions of streams that a test gives it, and no others.
type fakeVersions struct {
	mu       sync.Mutex
	software map[string]string // by the attempt that began the stream
	ended    map[string]bool
	// only is what OnlyWithoutRecord returns; "" if any version will do.
	only string
}

func (f *fakeVersions) OnlyWithoutRecord(string) (string, bool) { return f.only, f.only != "" }

func (f *fakeVersions) Begin(begun streamversions.Stream, software string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.software[begun.Attempt] = software
}

func (f *fakeVersions) Recorded(context.Context, string) error { return nil }

func (f *fakeVersions) End(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[attempt] = true
}

func (f *fakeVersions) Lookup(_ context.Context, begun streamversions.Stream) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	software, ok := f.software[begun.Attempt]
	if !ok {
		return "", errors.New("not known")
	}
	return software, nil
}

// software gives the decode engines of the fake deployment versions, and prefill engines the first one.
func (s *setup) software(versions map[string]string) {
	models := s.dispatcher.opts.Directory.(*fakeDirectory).upstreams["model"]
	for i, u := range models {
		models[i].Software = "v1"
		if u.Role == routing.RoleDecode {
			models[i].Software = versions[u.ID]
		}
	}
	s.dispatcher.RefreshEngines()
}

// decodedAt returns the version of the engine that decoded a request; empty if none did.
func (s *setup) decodedAt(id string, versions map[string]string) string {
	for _, a := range s.verdicts.all[id].Attempts {
		if a.Phase == "decode" {
			return versions[a.Upstream]
		}
	}
	return ""
}

// TestTakeUpGoesOnAtItsVersion checks who may go on with a stream, by what is known of the version that began it.
func TestTakeUpGoesOnAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		began    string // the version that began the stream; empty if it is not known
		versions map[string]string
		status   int
		at       string
	}{
		"an engine of the version is left": {"v2", map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, http.StatusOK, "v2"},
		"none is left":                     {"v3", map[string]string{"d1": "v1", "d2": "v1", "d3": "v2"}, http.StatusServiceUnavailable, ""},
		"not known":                        {"", map[string]string{"d1": "v1", "d2": "v1", "d3": "v1"}, http.StatusServiceUnavailable, ""},
	} {
		s := newSetup(noFaults)
		s.software(c.versions)
		if c.began != "" {
			s.versions.software["first"] = c.began
		}
		answer, _ := s.askAfter("again", "/resumable/x", "2", "first")
		if answer.Code != c.status || s.decodedAt("again", c.versions) != c.at {
			t.Errorf("%s: status %d, decoded at version %q, want %d at %q", name, answer.Code, s.decodedAt("again", c.versions), c.status, c.at)
		}
	}
}

// TestStreamsBeginAtTheBaseWhileRecordsFail guards against streams whose version nobody can tell after a kill of all
// daemons. Where no engine of the base is left, callers are served by the others.
func TestStreamsBeginAtTheBaseWhileRecordsFail(t *testing.T) {
	versions := map[string]string{"d1": "v2", "d2": "v2", "d3": "v1"} // d3 is the one in another data centre
	for only, want := range map[string]string{"": "v2", "v1": "v1", "v0": "v2"} {
		s := newSetup(noFaults)
		s.software(versions)
		s.versions.only = only
		if answer, cut := s.ask("r", "/resumable/x"); cut || answer.Code != http.StatusOK || s.decodedAt("r", versions) != want {
			t.Errorf("only %q: status %d, at version %q, want %q", only, answer.Code, s.decodedAt("r", versions), want)
		}
	}
}

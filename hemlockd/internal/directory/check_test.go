package directory

import (
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// TestHopsOfAChangeAddUpToTheLimits guards against a promise whose single hops are bounded
// and whose sum is not: whatever fails, a change that the store has acknowledged is read
// and acted upon within the limits of the settings.
func TestHopsOfAChangeAddUpToTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) clock.Millis { return clock.Millis(rapid.Int64Range(0, 10_000).Draw(t, name)) }
		l := Limits{LeavingMs: draw("leaving"), ConfigMs: draw("config"), OutageMs: draw("outage")}
		if !l.Met() {
			return
		}
		l = l.withDefaults()
		transfer := clock.Millis(rapid.Int64Range(0, 2000).Draw(t, "transfer"))
		if left := min(l.maxAge(directory.Upstreams, 0), l.maxAge(directory.Routes, 0)); transfer > left/2 || left-transfer < minAge {
			return // so much does not come over such a link in time
		}
		known := messageDelay + checkInterval + checkTimeout + transfer + processingMargin
		if sum := l.maxAge(directory.Upstreams, transfer) + known + CallReach; sum > l.LeavingMs {
			t.Errorf("a call may reach an upstream %d ms after it has left, want at most %d", sum, l.LeavingMs)
		}
		if sum := l.maxAge(directory.Routes, transfer) + known; sum > l.ConfigMs {
			t.Errorf("a configuration may be in force after %d ms, want at most %d", sum, l.ConfigMs)
		}
		if silence := l.maxAge(directory.Upstreams, transfer) + checkInterval + checkTimeout + transfer; silence > l.OutageMs {
			t.Errorf("a silence of %d ms here may pass for an outage, which lasts %d", silence, l.OutageMs)
		}
	})
}

func TestUsersLimitsAreMet(t *testing.T) {
	for _, l := range []Limits{DefaultLimits(), {LeavingMs: 4000, ConfigMs: 4000, OutageMs: 2400}} {
		if !l.Met() {
			t.Errorf("%+v are not met", l)
		}
	}
	if (Limits{LeavingMs: 1000}).Met() {
		t.Error("a limit below the sum of the hops is said to be met")
	}
}

// TestUnreachableStoreIsNotAskedOften counts the reads of a daemon that finds nothing out
// for a minute, as all daemons do in an outage of the store.
func TestUnreachableStoreIsNotAskedOften(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		b.followsStore.Store(false)
		store.setUnreachable(true)
		b.pass(5 * clock.Second)
		before := store.readCount()
		b.pass(clock.Minute)
		if reads := store.readCount() - before; reads < 30 || reads > 150 {
			t.Errorf("%d reads of two topics in a minute, want 30 to 150", reads)
		}
	})
}

// TestUnconfirmedListIsReadAtOnce guards a daemon that has its list from another daemon and
// hears from nobody how old it is.
func TestUnconfirmedListIsReadAtOnce(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		b.followsStore.Store(false)
		b.pass(clock.Second)
		b.mu.Lock()
		delete(b.freshness.confirmedMs, directory.Upstreams)
		b.mu.Unlock()
		store.set("a", true)
		if took := b.timeUntilUnused("a", 10*clock.Second); took > 2*checkInterval {
			t.Errorf("read after %d ms, want at most %d", took, 2*checkInterval)
		}
	})
}

func TestNewLimitsApplyAtOnce(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		b.followsStore.Store(false)
		b.SetLimits(Limits{LeavingMs: 2500})
		b.pass(10 * clock.Second)
		store.set("a", true)
		if took := b.timeUntilUnused("a", 10*clock.Second); took > 2500-CallReach {
			t.Errorf("used for %d ms, want at most %d", took, 2500-CallReach)
		}
	})
}

// TestUnchangedConfigurationIsNotReadAgain guards the link of a daemon that nobody tells that
// its configuration is up to date: each check read it whole.
func TestUnchangedConfigurationIsNotReadAgain(t *testing.T) {
	for _, historyLost := range []bool{false, true} {
		inVirtualTime(t, func(b *bubble, store *feedStore) {
			b.followsStore.Store(false)
			b.pass(clock.Second)
			store.mu.Lock()
			store.historyLost = historyLost
			before := store.configReads
			store.mu.Unlock()
			b.pass(clock.Minute)
			store.mu.Lock()
			reads, changeCalls := store.configReads-before, store.changeCalls
			store.mu.Unlock()
			if changeCalls < 10 || historyLost != (reads > 0) {
				t.Errorf("history lost %t: the configuration was read %d times beside %d calls for changes", historyLost, reads, changeCalls)
			}
		})
	}
}

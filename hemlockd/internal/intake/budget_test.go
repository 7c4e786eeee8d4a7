package intake

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetHolds drives accounts at random: no limit is exceeded, and what is taken is returned.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Capacity{MemoryBytes: rapid.Int64Range(1e6, 1e8).Draw(t, "memory"), Descriptors: rapid.IntRange(300, 2000).Draw(t, "descriptors")})
		var accounts []*Account
		pick := func() *Account { return accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")] }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			n := rapid.Int64Range(0, 1<<20).Draw(t, "bytes")
			switch step := rapid.IntRange(0, 6).Draw(t, "step"); {
			case step == 0 || len(accounts) == 0:
				if a := (&Account{budget: b}); a.open() {
					accounts = append(accounts, a)
				}
			case step == 1:
				_ = pick().begin()
			case step == 2:
				pick().takeHead(n)
			case step == 3:
				pick().TakeAnswer(n)
			case step == 4:
				pick().TakeBody(n)
			case step == 5:
				pick().endRequest()
			case step == 6:
				pick().close()
			}
			for name, q := range map[string]*quantity{"memory": &b.memory, "large": &b.large, "sockets": &b.sockets} {
				if used := q.used.Load(); used < 0 || used > q.limit.Load() {
					t.Fatalf("%s: %d of %d is taken", name, used, q.limit.Load())
				}
			}
		}
		for _, a := range accounts {
			a.close()
		}
		if b.memory.used.Load() != 0 || b.large.used.Load() != 0 || b.sockets.used.Load() != 0 {
			t.Fatalf("taken and not returned: %d, %d, %d", b.memory.used.Load(), b.large.used.Load(), b.sockets.used.Load())
		}
	})
}

// Ordinary requests of the users' sites find places at the smallest VM of the users.
func TestPlacesAtTheSmallestVM(t *testing.T) {
	const requests = 200
	b := NewBudget(Capacity{MemoryBytes: 112e6, Descriptors: 4100})
	for i := range requests {
		a := &Account{budget: b}
		if !a.open() || a.begin() != nil || !a.takeHead(costOfHead(600, 12)) || !a.TakeBody(11_000) {
			t.Fatalf("request %d finds no place", i+1)
		}
	}
}

func TestDaemonWithoutLimitsInItsSettings(t *testing.T) {
	b := NewBudget(Capacity{})
	if b.memory.limit.Load() <= 0 || b.sockets.limit.Load() <= 0 {
		t.Errorf("limits %d and %d", b.memory.limit.Load(), b.sockets.limit.Load())
	}
}

// Settings may change while the daemon runs: what is taken then stays, and new requests meet the new limits.
func TestCapacityChanges(t *testing.T) {
	b := NewBudget(Capacity{MemoryBytes: 100e6, Descriptors: 1000})
	a := &Account{budget: b}
	if !a.open() || a.begin() != nil || !a.TakeBody(20e6) {
		t.Fatal("no memory for a large body in calm")
	}
	b.SetCapacity(Capacity{MemoryBytes: 10e6, Descriptors: 1000})
	other := &Account{budget: b}
	if other.open() {
		t.Error("a connection finds a place beyond the new limit")
	}
	a.close()
	if !other.open() || other.begin() != nil || other.TakeBody(20e6) {
		t.Error("the new limits are not in force")
	}
}

package app

import (
	"fmt"
	"testing"

	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/peers"
)

// TestEachDutyHasOneHolderDuringAShutdown guards against two daemons that try the same blamed part again, and crash an engine
// each, because one of them shuts down: the others leave it out, and it must, too.
func TestEachDutyHasOneHolderDuringAShutdown(t *testing.T) {
	const n = 4
	for leaving := range 1 << n {
		for key := range 50 {
			part, holders := fmt.Sprint("part-", key), 0
			for self := range n {
				var others []peers.Daemon
				for i := range n {
					if i != self {
						others = append(others, peers.Daemon{Name: fmt.Sprint("d", i), Leaving: leaving&(1<<i) != 0})
					}
				}
				name := fmt.Sprint("d", self)
				if membership.Owner(part, dutyHolders(name, leaving&(1<<self) != 0, others)) == name {
					holders++
				}
			}
			if all := leaving == 1<<n-1; !all && holders != 1 || all && holders == 0 {
				t.Fatalf("%d holders of %s while the daemons %04b shut down", holders, part, leaving)
			}
		}
	}
}

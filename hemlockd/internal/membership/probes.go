package membership

import (
	"sort"

	"hemlockmux.example/common/clock"
)

// Tick starts a period and returns the addresses to probe in it.
func (m *Membership) Tick(now clock.Millis) []string {
	m.period++
	m.forget(now)
	var probes []string
	if address := m.nextLocal(); address != "" {
		probes = append(probes, address)
	}
	if m.period%remotePeriods == 1 {
		probes = m.appendRandom(probes, func(e *entry) bool {
			return e.DataCentre != m.self.DataCentre && e.State != Dead
		})
	}
	if m.period%deadPeriods == 2 || len(probes) == 0 {
		probes = m.appendDead(probes)
	}
	if m.period%2 == 1 {
		probes = m.appendSeed(probes)
	}
	return probes
}

// Fanout returns up to k random addresses of daemons of the own data centre that are not
// dead, for updates that cannot wait for the next period.
func (m *Membership) Fanout(k int) []string {
	var addresses []string
	for _, e := range m.sorted() {
		if e.DataCentre == m.self.DataCentre && e.State != Dead {
			addresses = append(addresses, e.Address)
		}
	}
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(k, len(addresses))]
}

// OnePerDataCentre returns, for each other data centre, the address of one random daemon
// that is not dead.
func (m *Membership) OnePerDataCentre() []string {
	byCentre := map[string][]string{}
	var centres []string
	for _, e := range m.sorted() {
		if e.DataCentre == m.self.DataCentre || e.State == Dead {
			continue
		}
		if len(byCentre[e.DataCentre]) == 0 {
			centres = append(centres, e.DataCentre)
		}
		byCentre[e.DataCentre] = append(byCentre[e.DataCentre], e.Address)
	}
	addresses := make([]string, 0, len(centres))
	for _, dc := range centres {
		addresses = append(addresses, byCentre[dc][m.rng.IntN(len(byCentre[dc]))])
	}
	return addresses
}

// nextLocal returns the address of the next peer of the own data centre in this round's
// order, or an empty string if there is none. It starts a new round if needed.
func (m *Membership) nextLocal() string {
	for range 2 {
		for len(m.order) > 0 {
			name := m.order[0]
			m.order = m.order[1:]
			if e, ok := m.entries[name]; ok && e.State != Dead {
				return e.Address
			}
		}
		for _, e := range m.sorted() {
			if e.DataCentre == m.self.DataCentre && e.State != Dead {
				m.order = append(m.order, e.Name)
			}
		}
		m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return ""
}

func (m *Membership) appendRandom(probes []string, want func(*entry) bool) []string {
	var candidates []string
	for _, e := range m.sorted() {
		if want(e) {
			candidates = append(candidates, e.Address)
		}
	}
	if len(candidates) == 0 {
		return probes
	}
	return append(probes, candidates[m.rng.IntN(len(candidates))])
}

// appendDead adds the dead daemon that has not been probed for the longest time.
func (m *Membership) appendDead(probes []string) []string {
	var oldest *entry
	for _, e := range m.sorted() {
		if e.State == Dead && (oldest == nil || e.lastProbePeriod < oldest.lastProbePeriod) {
			oldest = e
		}
	}
	if oldest == nil {
		return probes
	}
	oldest.lastProbePeriod = m.period
	return append(probes, oldest.Address)
}

func (m *Membership) appendSeed(probes []string) []string {
	if len(m.seeds) == 0 {
		return probes
	}
	addresses := make([]string, 0, len(m.seeds))
	for address := range m.seeds {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return append(probes, addresses[m.rng.IntN(len(addresses))])
}

// ProbeFailed records that a probe of an address was not answered.
func (m *Membership) ProbeFailed(address string, now clock.Millis) {
	for _, e := range m.entries {
		if e.Address != address || e.State == Dead {
			continue
		}
		e.failures++
		if e.failures >= failuresToDeath {
			e.State = Dead
			e.deadMs = now
			e.sendsLeft = m.sendsPerUpdate()
		} else {
			// Probe the same peer next, so that a lost message delays the decision by one
			// period only.
			m.order = append([]string{e.Name}, m.order...)
		}
	}
}

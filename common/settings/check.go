package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strings"
)

// check reports values that are out of range and references to undefined names.
func (p *parser) check() {
	s := &p.tree.System
	if _, ok := p.texts[SystemPath]; !ok {
		p.report(SystemPath, nil, "the system node is missing")
		return
	}
	p.checkPolicy(s.Policy)
	for _, name := range sortedNames(s.Models) {
		p.checkModel(name, s.Models[name])
	}
	for _, name := range sortedNames(s.Upstreams) {
		p.checkUpstream(name, s.Upstreams[name])
	}
	for _, name := range sortedNames(s.Operators) {
		p.checkHash(SystemPath, []string{"operators", name, "keyHash"}, s.Operators[name].KeyHash)
	}
	for name, sv := range s.Services {
		key := []string{"services", name, "timeoutMs"}
		p.checkRange(SystemPath, key, float64(sv.TimeoutMs), 10, 600_000)
		key[2] = "maxAnswerBytes"
		p.checkRange(SystemPath, key, float64(sv.MaxAnswerBytes), 0, 1<<20)
	}
	seen := map[string]string{}
	for _, name := range sortedNames(p.tree.Teams) {
		p.checkTeam(name, p.tree.Teams[name], seen)
	}
}

func (p *parser) checkPolicy(policy Policy) {
	for _, c := range []struct {
		key       string
		v         float64
		low, high float64
	}{
		{"firstTokenMs", float64(policy.FirstTokenMs), 1, 600_000},
		{"betweenTokensMs", policy.BetweenTokensMs, 0.1, 10_000},
		{"goodputWeight", policy.GoodputWeight, 0.01, 100},
		{"wasteWeight", policy.WasteWeight, 0.01, 100},
		{"stallMs", float64(policy.StallMs), 10, 600_000},
		{"prefillTimeoutMs", float64(policy.PrefillTimeoutMs), 10, 600_000},
		{"retryRatio", policy.RetryRatio, 0, 1},
		{"maxAttempts", float64(policy.MaxAttempts), 1, 10},
		{"suspectMs", float64(policy.SuspectMs), 0, 86_400_000},
		{"leavingGraceMs", float64(policy.LeavingGraceMs), 0, 5_000},
		{"maxBodyBytes", float64(policy.MaxBodyBytes), 1024, 64 << 20},
		{"placementKeepMs", float64(policy.PlacementKeepMs), 60_000, 365 * 86_400_000},
		{"ledgerIntervalMs", float64(policy.LedgerIntervalMs), 0, 10_000},
		{"verdictIntervalMs", float64(policy.VerdictIntervalMs), 100, 600_000},
	} {
		p.checkRange(SystemPath, []string{"policy", c.key}, c.v, c.low, c.high)
	}
}

func (p *parser) checkModel(name string, m Model) {
	for _, c := range []struct {
		key       string
		v         float64
		low, high float64
	}{
		{"slots", float64(m.Slots), 1, 10_000},
		{"pieces", float64(m.Pieces), 1, 1 << 24},
		{"pieceTokens", float64(m.PieceTokens), 1, 1 << 16},
		{"maxTokens", float64(m.MaxTokens), 1, 1 << 20},
		{"prefillTokenUs", float64(m.PrefillTokenUs), 0, 1_000_000},
		{"prefillBaseMs", float64(m.PrefillBaseMs), 0, 60_000},
		{"stepBaseMs", m.StepBaseMs, 0.01, 10_000},
		{"stepPerSlotMs", m.StepPerSlotMs, 0, 1_000},
		{"transferMBps", m.TransferMBps, 0.01, 1_000_000},
		{"kvTokenKB", m.KVTokenKB, 0, 100_000},
		{"groups", float64(m.Groups), 1, 64},
	} {
		p.checkRange(SystemPath, []string{"models", name, c.key}, c.v, c.low, c.high)
	}
}

func (p *parser) checkUpstream(name string, u Upstream) {
	s := &p.tree.System
	at := func(key string) []string { return []string{"upstreams", name, key} }
	if !validName(name) {
		p.report(SystemPath, []string{"upstreams", name}, "%q is not a valid name: use 1 to 63 characters of a-z, 0-9 and -", name)
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		p.report(SystemPath, at("address"), "address %q is not IP:port", u.Address)
	}
	checkReference(p, SystemPath, at("dataCentre"), "data centre", u.DataCentre, s.DataCentres)
	switch u.Kind {
	case KindPrefill, KindDecode:
		checkReference(p, SystemPath, at("model"), "model", u.Model, s.Models)
	case KindService:
		checkReference(p, SystemPath, at("service"), "service", u.Service, s.Services)
	default:
		p.report(SystemPath, at("kind"), "kind %q is not one of prefill, decode, service", u.Kind)
	}
}

// checkTeam validates one team. seenKeys maps each key hash to the team that was
// checked with it, to find keys that are used twice.
func (p *parser) checkTeam(name string, t Team, seenKeys map[string]string) {
	path, s := TeamsPrefix+name, &p.tree.System
	p.checkRange(path, []string{"priority"}, float64(t.Priority), 0, 9)
	p.checkRange(path, []string{"requestsPerSecond"}, t.RequestsPerSecond, 0, 1e6)
	p.checkRange(path, []string{"burst"}, float64(t.Burst), 1, 1e6)
	p.checkRange(path, []string{"maxInFlight"}, float64(t.MaxInFlight), 0, 1e6)
	for _, m := range t.Models {
		checkReference(p, path, []string{"models"}, "model", m, s.Models)
	}
	for _, sv := range t.Services {
		checkReference(p, path, []string{"services"}, "service", sv, s.Services)
	}
	for _, u := range t.Upstreams {
		checkReference(p, path, []string{"upstreams"}, "upstream", u, s.Upstreams)
	}
	for _, key := range sortedNames(t.Keys) {
		hash := t.Keys[key].Hash
		at := []string{"keys", key, "hash"}
		p.checkHash(path, at, hash)
		if other, twice := seenKeys[hash]; twice {
			p.report(path, at, "the same key is also given to team %q", other)
		}
		seenKeys[hash] = name
	}
}

// checkHash reports a hash that HashKey can't have returned.
func (p *parser) checkHash(path string, key []string, hash string) {
	hex, ok := strings.CutPrefix(hash, "sha256:")
	if !ok || len(hex) != 64 || strings.Trim(hex, "0123456789abcdef") != "" {
		p.report(path, key, "%q is not sha256: and 64 hex digits; hemlockctl keys new generates a key and its hash", hash)
	}
}

// checkRange reports a value outside low to high, or NaN.
func (p *parser) checkRange(path string, key []string, v, low, high float64) {
	if !(v >= low && v <= high) {
		p.report(path, key, "%s is %v, outside %v to %v", strings.Join(key, "."), v, low, high)
	}
}

// report adds a finding at the line of key; a nil key means the node as a whole.
func (p *parser) report(path string, key []string, format string, args ...any) {
	line := 0
	if len(key) > 0 {
		line = lineOf(p.texts[path], key)
	}
	p.findings = append(p.findings, Finding{Path: path, Line: line, Text: fmt.Sprintf(format, args...)})
}

// checkReference reports a reference to a name that is not defined in names, and
// suggests the nearest one that is.
func checkReference[V any](p *parser, path string, key []string, what, name string, names map[string]V) {
	if _, ok := names[name]; ok {
		return
	}
	p.report(path, key, "there is no %s %q", what, name)
	p.findings[len(p.findings)-1].Suggestion = nearest(name, sortedNames(names))
}

// sortedNames returns the keys of m in ascending order.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// MayUse reports whether the team may use the upstream of the given name.
func (t Team) MayUse(name string, u Upstream) bool {
	if len(t.Upstreams) > 0 && !slices.Contains(t.Upstreams, name) {
		return false
	}
	if u.Kind == KindService {
		return slices.Contains(t.Services, u.Service)
	}
	return slices.Contains(t.Models, u.Model)
}

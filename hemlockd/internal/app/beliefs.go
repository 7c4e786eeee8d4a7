package app

import (
	"hemlockmux.example/common/operatorapi"
)

// beliefs returns this daemon's view of the system, for operators.
func (d *platformDaemon) beliefs() operatorapi.DaemonView {
	now := d.clk.Now()
	s := operatorapi.DaemonView{
		Daemon: d.settings.Name, DataCentre: d.settings.DataCentre, Version: d.directory.Version(), Ready: d.directory.Ready(),
		OpenRequests: d.dispatcher.OpenRequests(), SinceStoreFailureMs: d.directory.SinceStoreFailure(),
	}
	for _, e := range d.view.Engines(now) {
		s.Engines = append(s.Engines, operatorapi.EngineView{
			Engine: e.ID, Runs: e.Runs, ForecastTokens: e.Peak, MemoryTokens: e.MemoryTokens, MsPerToken: e.MsPerToken,
		})
	}
	for _, u := range d.directory.All() {
		s.Upstreams = append(s.Upstreams, operatorapi.UpstreamView{
			Upstream: u.ID, Service: u.Service, Address: u.Address, Role: string(u.Role), Leaving: u.Leaving, Down: d.dispatcher.IsDown(u.ID),
		})
	}
	for _, r := range d.prompts.Blamed(now) {
		s.RefusedParts = append(s.RefusedParts, operatorapi.RefusedPartView{
			Service: r.Service, Part: r.Part, Engines: r.Engines, SinceCrashMs: r.CrashAgoMs, SinceTryMs: r.TryAgoMs, SinceRefusalMs: r.SeenAgoMs,
		})
	}
	s.Limits, s.Closed = d.gate.Limits.All(now), d.gate.All(now)
	for _, p := range d.peers.All() {
		s.Daemons = append(s.Daemons, operatorapi.PeerView{
			Daemon: p.Name, DataCentre: p.DataCentre, Address: p.Address, Version: p.Config.Version, SinceHeardMs: now - p.LastHeardMs, Leaving: p.Leaving,
		})
	}
	return s
}

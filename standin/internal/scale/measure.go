package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
)

// vars holds the values that are read from a daemon's expvar page.
type vars struct {
	Daemon struct {
		CPUMs           float64 `json:"cpuMs"`
		SettingsVersion int64   `json:"settingsVersion"`
	} `json:"daemon"`
	Daemons struct {
		BytesIn  float64 `json:"bytesIn"`
		BytesOut float64 `json:"bytesOut"`
		Probes   float64 `json:"probes"`
	} `json:"daemons"`
	Keeper struct {
		LoadReports float64 `json:"loadReports"`
	} `json:"keeper"`
	Engines struct {
		ControlBytes float64 `json:"controlBytes"`
	} `json:"engines"`
	Settings struct {
		Polls float64 `json:"polls"`
	} `json:"settings"`
	MemStats struct {
		Sys       float64 `json:"Sys"`
		HeapAlloc float64 `json:"HeapAlloc"`
	} `json:"memstats"`
}

// Report holds the control cost per daemon. Fields are means over all daemons unless
// their comment says otherwise; fields that begin with Max hold the greatest value of any
// daemon.
type Report struct {
	// Daemons is the number of daemons measured.
	Daemons int
	// CPUPercent and MaxCPUPercent are the processor time, in percent of one core.
	CPUPercent, MaxCPUPercent float64
	// BytesIn and BytesOut are the traffic between daemons, in bytes per second.
	BytesIn, BytesOut float64
	// MaxBytes is the greatest traffic between daemons in both directions together, in
	// bytes per second.
	MaxBytes float64
	// Probes is the number of probes between daemons per second.
	Probes float64
	// LoadReports is the number of load reports read from engines per second.
	LoadReports float64
	// EngineBytes is the traffic of control calls to engines (load reports and aborts) in
	// both directions, in bytes per second.
	EngineBytes float64
	// Polls is the number of settings polls per second, of all daemons together.
	Polls float64
	// MemoryMB and MaxMemoryMB are the memory obtained from the operating system, in
	// millions of bytes.
	MemoryMB, MaxMemoryMB float64
	// TableReads and TableWrites are the table calls per second, of all daemons
	// together.
	TableReads, TableWrites float64
	// SettingsChangeMs is the time until a settings change reached all daemons, in
	// milliseconds.
	SettingsChangeMs int64
}

// Measure reads the counters of all daemons twice, window apart, and returns the cost in
// between. The table calls are read from the stand-ins' administration port.
func Measure(ctx context.Context, operators []string, admin string, window time.Duration) (Report, error) {
	before, err := sample(ctx, operators)
	if err != nil {
		return Report{}, err
	}
	tableBefore := tableCalls(ctx, admin)
	started := time.Now()
	time.Sleep(window)
	after, err := sample(ctx, operators)
	if err != nil {
		return Report{}, err
	}
	seconds := time.Since(started).Seconds()
	tableAfter := tableCalls(ctx, admin)
	r := Report{Daemons: len(operators)}
	n := float64(len(operators))
	for i := range operators {
		b, a := before[i], after[i]
		cpu := (a.Daemon.CPUMs - b.Daemon.CPUMs) / 10 / seconds
		in, out := (a.Daemons.BytesIn-b.Daemons.BytesIn)/seconds, (a.Daemons.BytesOut-b.Daemons.BytesOut)/seconds
		memory := a.MemStats.Sys / 1e6
		r.CPUPercent += cpu / n
		r.MaxCPUPercent = max(r.MaxCPUPercent, cpu)
		r.BytesIn += in / n
		r.BytesOut += out / n
		r.MaxBytes = max(r.MaxBytes, in+out)
		r.Probes += (a.Daemons.Probes - b.Daemons.Probes) / seconds / n
		r.LoadReports += (a.Keeper.LoadReports - b.Keeper.LoadReports) / seconds / n
		r.EngineBytes += (a.Engines.ControlBytes - b.Engines.ControlBytes) / seconds / n
		r.Polls += (a.Settings.Polls - b.Settings.Polls) / seconds
		r.MemoryMB += memory / n
		r.MaxMemoryMB = max(r.MaxMemoryMB, memory)
	}
	r.TableReads = float64(tableAfter.TableReads-tableBefore.TableReads) / seconds
	r.TableWrites = float64(tableAfter.TableWrites-tableBefore.TableWrites) / seconds
	return r, nil
}

type tableCallCounts struct {
	TableReads, TableWrites int64
}

func tableCalls(ctx context.Context, admin string) (c tableCallCounts) {
	_ = get(ctx, "http://"+admin+"/state", &c)
	return c
}

// sample reads the expvar pages of all daemons in parallel.
func sample(ctx context.Context, operators []string) ([]vars, error) {
	all := make([]vars, len(operators))
	errs := make([]error, len(operators))
	var reads sync.WaitGroup
	for i, address := range operators {
		reads.Go(func() { errs[i] = get(ctx, "http://"+address+"/debug/vars", &all[i]) })
	}
	reads.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("read /debug/vars of daemon at %s: %w", operators[i], err)
		}
	}
	return all, nil
}

func get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// MeasureSettingsChange changes one team's settings through the first daemon. It
// returns the milliseconds from the daemon's answer until all daemons have the new
// settings version.
func MeasureSettingsChange(ctx context.Context, operators []string) (int64, error) {
	current, err := callSettingsAPI[operatorapi.SettingsResponse](ctx, operators[0], http.MethodGet, nil)
	if err != nil {
		return 0, err
	}
	change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: current.Version}
	for _, n := range current.Nodes {
		if n.Path == settings.TeamsPrefix+"team-0" {
			change.Nodes = []settings.NodeChange{{Path: n.Path, After: n.Text + "# changed\n"}}
		}
	}
	accepted, err := callSettingsAPI[operatorapi.ApplyResponse](ctx, operators[0], http.MethodPost, change)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	for ctx.Err() == nil {
		all, err := sample(ctx, operators)
		if err != nil {
			return 0, err
		}
		behind := 0
		for _, v := range all {
			if v.Daemon.SettingsVersion < accepted.Version {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(started).Milliseconds(), nil
		}
	}
	return 0, ctx.Err()
}

func callSettingsAPI[Out any](ctx context.Context, address, method string, in any) (out Out, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return out, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/v1/settings", bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("%s /v1/settings: %s", method, resp.Status)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// AwaitDead waits until all given daemons report the named daemon as dead, or no longer
// list it, and returns the milliseconds that it took.
func AwaitDead(ctx context.Context, operators []string, name string) (int64, error) {
	started := time.Now()
	for ctx.Err() == nil {
		unaware := 0
		for _, address := range operators {
			dead, err := reportsDead(ctx, address, name)
			if err != nil {
				return 0, err
			}
			if !dead {
				unaware++
			}
		}
		if unaware == 0 {
			return time.Since(started).Milliseconds(), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, ctx.Err()
}

func reportsDead(ctx context.Context, address, name string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/daemons", nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	var list []operatorapi.DaemonStatus
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return false, err
	}
	for _, d := range list {
		if d.Name == name {
			return d.State == "dead", nil
		}
	}
	return true, nil
}

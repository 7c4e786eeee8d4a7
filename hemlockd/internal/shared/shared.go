// Package shared holds what nearly every part of the daemon is given when it is
// constructed: the log, the clock, the daemon's identity, its process settings
// and the invariant checker.
//
// # Usage
//
//	common := shared.Common{Log: log, Clock: clock.System(), Config: cfg, Invariants: inv}
package shared

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"github.com/BurntSushi/toml"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
)

// Common is given to constructors.
type Common struct {
	Log        *zap.Logger
	Clock      clock.Clock
	Config     Config
	Invariants *invariant.Checker
	// Incarnation is the time of the process's start; with the name it tells
	// one run of a daemon from the next.
	Incarnation clock.Millis
}

// RunID names this run of the daemon.
func (c Common) RunID() string {
	return c.Config.Name + "~" + strconv.FormatInt(int64(c.Incarnation), 36)
}

// Config is the daemon's own file: who it is and where it finds the platform
// and its peers. Everything else is in the settings tree.
type Config struct {
	Name       string `toml:"name" doc:"Name of the daemon, unique among all daemons."`
	DataCentre string `toml:"dataCentre" doc:"Data centre that it stands in."`
	Callers    string `toml:"callers" doc:"IP:port for callers."`
	Operators  string `toml:"operators" doc:"IP:port for operators, health and metrics."`
	Daemons    string `toml:"daemons" doc:"IP:port for other daemons."`
	Advertise  string `toml:"advertise" doc:"IP:port by which other daemons reach this one, where it differs from daemons."`
	Table      string `toml:"table" doc:"URL of the platform's table."`
	Objects    string `toml:"objects" doc:"URL of the platform's object store."`
	Bucket     string `toml:"bucket" doc:"Bucket for verdicts."`
	VMs        string `toml:"vms" doc:"URL of the platform's VM list."`
	// PlatformToken and DaemonKey may be given in the environment instead, as
	// HEMLOCK_PLATFORM_TOKEN and HEMLOCK_DAEMON_KEY.
	PlatformToken string   `toml:"platformToken" doc:"Token by which the platform knows the daemon; HEMLOCK_PLATFORM_TOKEN goes first."`
	DaemonKey     string   `toml:"daemonKey" doc:"Key that all daemons share, at least 16 characters; HEMLOCK_DAEMON_KEY goes first."`
	BootstrapHash string   `toml:"bootstrapHash" doc:"Hash of the operator key that may apply the first settings."`
	Peers         []string `toml:"peers" doc:"IP:port of some other daemons' ports, beside those of the VM list."`
	// Times of the daemon's control loops.
	PlatformTimeoutMs clock.Millis `toml:"platformTimeoutMs" doc:"Longest wait for the platform, in ms."`
	ProbeMs           clock.Millis `toml:"probeMs" doc:"Time between two probes of other daemons, in ms."`
	PollMs            clock.Millis `toml:"pollMs" doc:"Time between two looks at the settings' version by a polling daemon, in ms."`
	VMListMs          clock.Millis `toml:"vmListMs" doc:"Time between two reads of the VM list, in ms."`
	LoadMs            clock.Millis `toml:"loadMs" doc:"Time between two load reports of an engine, in ms."`
	DrainMs           clock.Millis `toml:"drainMs" doc:"Longest time that a shutdown waits for requests in flight, in ms."`
}

// AdvertisedAddress is the address by which other daemons reach this one.
func (c Config) AdvertisedAddress() string { return cmp.Or(c.Advertise, c.Daemons) }

// Dialer returns a dialer to other daemons, which speaks from this daemon's own
// address, so that they and the network can tell who it is.
func (c Config) Dialer(timeout clock.Millis) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout.Duration()}
	if own, err := netip.ParseAddrPort(c.Daemons); err == nil && !own.Addr().IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: own.Addr().AsSlice()}
	}
	return dialer
}

// DefaultConfig returns a configuration with every default.
func DefaultConfig() Config {
	return Config{
		Bucket: "hemlockmux", PlatformTimeoutMs: 2 * clock.Second, ProbeMs: 500, PollMs: clock.Second,
		VMListMs: 2 * clock.Second, LoadMs: clock.Second, DrainMs: 60 * clock.Second,
	}
}

// minDaemonKey is the least length of the daemons' shared key.
const minDaemonKey = 16

// BadConfigError lists what is wrong with the daemon's file.
type BadConfigError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *BadConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the causes.
func (e *BadConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and checks the daemon's file.
func LoadConfig(path string) (Config, error) {
	cfg := DefaultConfig()
	meta, err := toml.DecodeFile(path, &cfg)
	if err != nil {
		return cfg, &BadConfigError{Path: path, Err: err}
	}
	if v := os.Getenv("HEMLOCK_PLATFORM_TOKEN"); v != "" {
		cfg.PlatformToken = v
	}
	if v := os.Getenv("HEMLOCK_DAEMON_KEY"); v != "" {
		cfg.DaemonKey = v
	}
	var wrong []error
	for _, key := range meta.Undecoded() {
		wrong = append(wrong, fmt.Errorf("unknown key %q", key.String()))
	}
	if err := errors.Join(append(wrong, cfg.check()...)...); err != nil {
		return cfg, &BadConfigError{Path: path, Err: err}
	}
	return cfg, nil
}

func (c Config) check() []error {
	var wrong []error
	for key, v := range map[string]string{
		"name": c.Name, "dataCentre": c.DataCentre, "table": c.Table, "objects": c.Objects, "vms": c.VMs,
	} {
		if v == "" {
			wrong = append(wrong, fmt.Errorf("%s is missing", key))
		}
	}
	for key, v := range map[string]string{"callers": c.Callers, "operators": c.Operators, "daemons": c.Daemons} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			wrong = append(wrong, fmt.Errorf("%s %q is not IP:port", key, v))
		}
	}
	if len(c.DaemonKey) < minDaemonKey {
		wrong = append(wrong, fmt.Errorf("daemonKey must have at least %d characters", minDaemonKey))
	}
	for key, v := range map[string]clock.Millis{
		"platformTimeoutMs": c.PlatformTimeoutMs, "probeMs": c.ProbeMs, "pollMs": c.PollMs,
		"vmListMs": c.VMListMs, "loadMs": c.LoadMs, "drainMs": c.DrainMs,
	} {
		if v < 1 || v > clock.Hour {
			wrong = append(wrong, fmt.Errorf("%s is %d, outside 1 to %d", key, v, clock.Hour))
		}
	}
	return wrong
}

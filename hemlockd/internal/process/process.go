// Package process holds what one daemon process is made of: its log, clock, identity,
// configuration file and invariant checker.
//
// # Usage
//
//	env := process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: inv}
package process

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

// Environment holds the dependencies that are passed to constructors.
type Environment struct {
	// Log is the daemon's log.
	Log *zap.Logger
	// Clock is the source of the time.
	Clock clock.Clock
	// Config is the content of the daemon's configuration file.
	Config Config
	// Invariants checks the daemon's invariants.
	Invariants *invariant.Checker
	// Incarnation is the start time of the process, in Unix ms. Together with the name
	// it identifies a run of the daemon.
	Incarnation clock.Millis
	// Shutdown tells when the daemon shuts down; nil: never.
	Shutdown *Shutdown
}

// RunID returns the identifier of this run of the daemon: its name and start time.
func (e Environment) RunID() string {
	return e.Config.Name + "~" + strconv.FormatInt(int64(e.Incarnation), 36)
}

// Config is the content of the daemon's configuration file: its identity, addresses,
// keys, time-outs and intervals. Everything else is in the settings tree. The doc tags
// describe the fields and their units.
type Config struct {
	Name              string       `toml:"name" doc:"Name of the daemon, unique among all daemons."`
	DataCentre        string       `toml:"dataCentre" doc:"Data centre of the daemon."`
	Callers           string       `toml:"callers" doc:"IP:port for callers."`
	Operators         string       `toml:"operators" doc:"IP:port for operators, health and metrics."`
	Daemons           string       `toml:"daemons" doc:"IP:port for other daemons."`
	Advertise         string       `toml:"advertise" doc:"IP:port at which other daemons reach this one, if it differs from the value of daemons."`
	Table             string       `toml:"table" doc:"URL of the platform's table."`
	Objects           string       `toml:"objects" doc:"URL of the platform's object store."`
	Bucket            string       `toml:"bucket" doc:"Bucket for verdicts."`
	VMs               string       `toml:"vms" doc:"URL of the platform's VM list."`
	PlatformToken     string       `toml:"platformToken" doc:"Token that authenticates the daemon to the platform; HEMLOCK_PLATFORM_TOKEN overrides it."`
	DaemonKey         string       `toml:"daemonKey" doc:"Key that all daemons share, at least 16 characters; HEMLOCK_DAEMON_KEY overrides it."`
	BootstrapHash     string       `toml:"bootstrapHash" doc:"Hash of the operator key that may apply the first settings."`
	Peers             []string     `toml:"peers" doc:"Addresses (IP:port) of some other daemons, used as seeds in addition to those of the VM list."`
	PlatformTimeoutMs clock.Millis `toml:"platformTimeoutMs" doc:"Time-out of a request to the platform, in ms."`
	ProbeMs           clock.Millis `toml:"probeMs" doc:"Time between two probes of other daemons, in ms."`
	PollMs            clock.Millis `toml:"pollMs" doc:"Time between two polls of the settings' version by a polling daemon, in ms."`
	VMListMs          clock.Millis `toml:"vmListMs" doc:"Time between two reads of the VM list, in ms."`
	LoadMs            clock.Millis `toml:"loadMs" doc:"Time between two load reports of an engine, in ms."`
	MemoryMB          int          `toml:"memoryMb" doc:"Memory of the process, in MB; callers may use half of it. 0: that of the machine."`
	MaxDescriptors    int          `toml:"maxFds" doc:"File descriptors of the process; callers may use half of those beyond 200. 0: what the system allows."`
	MaxHeaderBytes    int          `toml:"maxHeaderBytes" doc:"Longest head of a request, in bytes."`
	HeaderTimeoutMs   clock.Millis `toml:"headerTimeoutMs" doc:"Longest time from the first to the last byte of a request's head, in ms."`
	BodyTimeoutMs     clock.Millis `toml:"bodyTimeoutMs" doc:"Longest time from the end of a request's head to the end of its body, in ms."`
	UnreadAnswerMs    clock.Millis `toml:"unreadAnswerMs" doc:"Time after which an answer is given up whose reader takes nothing of it, in ms."`
	DrainMs           clock.Millis `toml:"drainMs" doc:"Longest time that a shutdown waits for requests in flight, in ms."`
}

// AdvertisedAddress returns the address at which other daemons reach this one.
func (c Config) AdvertisedAddress() string { return cmp.Or(c.Advertise, c.Daemons) }

// Dialer returns a dialer for connections to other daemons. It binds them to this
// daemon's own IP address, so that the peers and the network can identify it.
func (c Config) Dialer(timeout clock.Millis) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout.Duration()}
	if own, err := netip.ParseAddrPort(c.Daemons); err == nil && !own.Addr().IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: own.Addr().AsSlice()}
	}
	return dialer
}

// DefaultConfig returns a configuration with all defaults set.
func DefaultConfig() Config {
	return Config{
		Bucket: "hemlockmux", PlatformTimeoutMs: 2 * clock.Second, ProbeMs: 500, PollMs: clock.Second,
		VMListMs: 2 * clock.Second, LoadMs: clock.Second, DrainMs: 60 * clock.Second,
		MaxHeaderBytes: 64 << 10, HeaderTimeoutMs: 10 * clock.Second, BodyTimeoutMs: clock.Minute, UnreadAnswerMs: 30 * clock.Second,
	}
}

// LeavingDelayMs returns the longest time from the first signal that an upstream is leaving, by
// its own report or by the VM list, until no new work can reach it. It adds up the hops: the
// interval, one read without an answer, the look through the engines and the call.
func (c Config) LeavingDelayMs() clock.Millis {
	const (
		reportTimeout = clock.Second
		callReach     = 500 * clock.Millisecond
	)
	byReport := c.LoadMs + reportTimeout
	byHealthCheck := 4 * c.LoadMs // checks come at twice the interval of reports
	byList := c.VMListMs + c.VMListMs/2 + c.LoadMs
	return max(byReport, byHealthCheck, byList) + callReach
}

// Bounds of the limits on callers.
const (
	minMemoryMB    = 64
	minDescriptors = 300
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
)

// minDaemonKeyBytes is the minimum length of the daemons' shared key, in bytes.
const minDaemonKeyBytes = 16

// BadConfigError reports all errors in the daemon's configuration file.
type BadConfigError struct {
	// Path is the path of the file.
	Path string
	// Err is the decoding error, or the join of all validation errors.
	Err error
}

// Error implements error.
func (e *BadConfigError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the decoding or validation errors.
func (e *BadConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and validates the daemon's configuration file. Unknown keys are
// errors.
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
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("unknown key %q", key.String()))
	}
	if err := errors.Join(append(errs, cfg.check()...)...); err != nil {
		return cfg, &BadConfigError{Path: path, Err: err}
	}
	return cfg, nil
}

// check returns all validation errors.
func (c Config) check() []error {
	var errs []error
	for key, v := range map[string]string{
		"name": c.Name, "dataCentre": c.DataCentre, "table": c.Table, "objects": c.Objects, "vms": c.VMs,
	} {
		if v == "" {
			errs = append(errs, fmt.Errorf("%s is missing", key))
		}
	}
	for key, v := range map[string]string{"callers": c.Callers, "operators": c.Operators, "daemons": c.Daemons} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			errs = append(errs, fmt.Errorf("%s %q is not IP:port", key, v))
		}
	}
	if len(c.DaemonKey) < minDaemonKeyBytes {
		errs = append(errs, fmt.Errorf("daemonKey must have at least %d characters", minDaemonKeyBytes))
	}
	for key, v := range map[string]clock.Millis{
		"platformTimeoutMs": c.PlatformTimeoutMs, "probeMs": c.ProbeMs, "pollMs": c.PollMs,
		"vmListMs": c.VMListMs, "loadMs": c.LoadMs, "drainMs": c.DrainMs,
		"headerTimeoutMs": c.HeaderTimeoutMs, "bodyTimeoutMs": c.BodyTimeoutMs, "unreadAnswerMs": c.UnreadAnswerMs,
	} {
		if v < 1 || v > clock.Hour {
			errs = append(errs, fmt.Errorf("%s is %d, outside 1 to %d", key, v, clock.Hour))
		}
	}
	if c.MemoryMB != 0 && c.MemoryMB < minMemoryMB {
		errs = append(errs, fmt.Errorf("memoryMb is %d; use 0 or at least %d", c.MemoryMB, minMemoryMB))
	}
	if c.MaxDescriptors != 0 && c.MaxDescriptors < minDescriptors {
		errs = append(errs, fmt.Errorf("maxFds is %d; use 0 or at least %d", c.MaxDescriptors, minDescriptors))
	}
	if c.MaxHeaderBytes < minHeaderBytes || c.MaxHeaderBytes > maxHeaderBytes {
		errs = append(errs, fmt.Errorf("maxHeaderBytes is %d, outside %d to %d", c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes))
	}
	return errs
}

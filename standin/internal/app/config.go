package app

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/settings"
)

// Config is the stand-ins' configuration file.
type Config struct {
	// Seed is the base from which the seeds of the engines are derived.
	Seed uint64 `toml:"seed"`
	// Events is the path of the event log.
	Events string `toml:"events"`
	// Admin is the listening address (host:port) of the administration port.
	Admin string `toml:"admin"`
	// Table is the listening address (host:port) of the table.
	Table string `toml:"table"`
	// Objects is the listening address (host:port) of the object store.
	Objects string `toml:"objects"`
	// VMs is the listening address (host:port) of the VM list.
	VMs string `toml:"vms"`
	// System is the path of the system file of the settings. The process runs a
	// stand-in for each upstream that the file lists.
	System string `toml:"system"`
	// ServiceDelayMs is how long a plain service takes for a call, in milliseconds.
	ServiceDelayMs int64 `toml:"serviceDelayMs"`
	// VMLagMs is the delay after which the VM list shows a change, in milliseconds.
	VMLagMs int64 `toml:"vmLagMs"`
	// Daemons lists the daemons that the VM list shows beside the upstreams.
	Daemons []Daemon `toml:"daemons"`
}

// Daemon describes the VM of one daemon in the VM list.
type Daemon struct {
	// Name is the name of the daemon.
	Name string `toml:"name"`
	// DataCentre is the name of the daemon's data centre.
	DataCentre string `toml:"dataCentre"`
	// Address is the daemon's target address (host:port) in the VM list.
	Address string `toml:"address"`
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Seed: 1, Events: ".run/events.jsonl", Admin: "127.0.0.1:19000", Table: "127.0.0.1:19001",
		Objects: "127.0.0.1:19002", VMs: "127.0.0.1:19003", ServiceDelayMs: 20, VMLagMs: 2000,
	}
}

// LoadConfig reads the configuration file and the system settings to which it refers.
func LoadConfig(path string) (Config, settings.System, error) {
	cfg := DefaultConfig()
	meta, err := toml.DecodeFile(path, &cfg)
	if err != nil {
		return cfg, settings.System{}, fmt.Errorf("read %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return cfg, settings.System{}, fmt.Errorf("%s: unknown setting %s", path, unknown[0])
	}
	text, err := os.ReadFile(cfg.System)
	if err != nil {
		return cfg, settings.System{}, fmt.Errorf("read system settings: %w", err)
	}
	tree, err := settings.Parse(1, []settings.Node{{Path: settings.SystemPath, Text: string(text)}})
	if err != nil {
		return cfg, settings.System{}, err
	}
	return cfg, tree.System, nil
}

// vmGroups returns the target groups of all upstreams and daemons, in the state live.
func vmGroups(cfg Config, system settings.System) []platform.TargetGroup {
	group := func(name, dataCentre, address, role string) platform.TargetGroup {
		return platform.TargetGroup{Targets: []string{address}, Labels: map[string]string{
			platform.LabelName: name, platform.LabelDataCentre: dataCentre, platform.LabelState: platform.StateLive, platform.LabelRole: role,
		}}
	}
	var groups []platform.TargetGroup
	for name, u := range system.Upstreams {
		groups = append(groups, group(name, u.DataCentre, u.Address, platform.RoleUpstream))
	}
	for _, d := range cfg.Daemons {
		groups = append(groups, group(d.Name, d.DataCentre, d.Address, platform.RoleDaemon))
	}
	return groups
}

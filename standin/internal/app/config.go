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
	Seed    uint64 `toml:"seed"`
	Events  string `toml:"events"`
	Admin   string `toml:"admin"`
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	VMs     string `toml:"vms"`
	// System is the path of the settings' system file, which names the
	// upstreams to stand in for.
	System string `toml:"system"`
	// ServiceDelayMs is how long a plain service works on a call.
	ServiceDelayMs int64 `toml:"serviceDelayMs"`
	// VMLagMs is how late the VM list shows a change.
	VMLagMs int64    `toml:"vmLagMs"`
	Daemons []Daemon `toml:"daemons"`
}

// Daemon is one entry VM in the VM list.
type Daemon struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	Address    string `toml:"address"`
}

// DefaultConfig returns a configuration with every default.
func DefaultConfig() Config {
	return Config{
		Seed: 1, Events: ".run/events.jsonl", Admin: "127.0.0.1:19000", Table: "127.0.0.1:19001",
		Objects: "127.0.0.1:19002", VMs: "127.0.0.1:19003", ServiceDelayMs: 20, VMLagMs: 2000,
	}
}

// LoadConfig reads the configuration and the system settings that it names.
func LoadConfig(path string) (Config, settings.System, error) {
	cfg := DefaultConfig()
	meta, err := toml.DecodeFile(path, &cfg)
	if err != nil {
		return cfg, settings.System{}, fmt.Errorf("read %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return cfg, settings.System{}, fmt.Errorf("%s: unknown key %s", path, unknown[0])
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

// vmGroups lists the upstreams' and the daemons' VMs.
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

package app

import (
	"runtime/debug"

	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/platform"
)

// controlConns is the number of connections that a port for the platform's or an operator's programs has places for.
const controlConns = 16

// megabyte is the unit of memory in settings.
const megabyte = 1_000_000

// limitMemory has the Go runtime collect garbage in time for the process to stay within its memory.
func limitMemory(c intake.Capacity) { debug.SetMemoryLimit(c.CollectBytes()) }

// ownCapacity returns what the process may use by the daemon's own file.
func ownCapacity(cfg process.Config) intake.Capacity {
	return intake.Capacity{MemoryBytes: int64(cfg.MemoryMB) * megabyte, Descriptors: cfg.MaxDescriptors, DaemonsPort: true}
}

// headLimits returns the limits of heads in the configuration.
func (d *platformDaemon) headLimits() intake.Heads {
	limits := intake.Heads{MaxBytes: intake.DefaultMaxHeadBytes}
	table := d.directory.Table()
	if table == nil {
		return limits
	}
	limits.TimeoutMs = table.Config.Limits.HeaderTimeoutMs
	if n := table.Config.Limits.MaxHeaderBytes; n > 0 {
		limits.MaxBytes = n
	}
	return limits
}

// capacityOf returns what the process may use.
func capacityOf(settings platform.Settings) intake.Capacity {
	return intake.Capacity{MemoryBytes: int64(settings.MemoryMB) * megabyte, Descriptors: settings.MaxDescriptors}
}

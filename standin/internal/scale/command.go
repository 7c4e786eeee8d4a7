package scale

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the command line that plans deployments and measures them;
// scripts/scale.sh runs it.
func Command() *cli.Command {
	operators := &cli.StringFlag{Name: "operators", Usage: "addresses of all daemons' ports for operators, separated by commas", Required: true}
	return &cli.Command{
		Name:  "scale",
		Usage: "plan deployments of many daemons and measure their control cost",
		Commands: []*cli.Command{
			{
				Name: "plan",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "data-centres", Value: 1}, &cli.IntFlag{Name: "daemons", Value: 2},
					&cli.IntFlag{Name: "teams", Value: 20}, &cli.IntFlag{Name: "models", Value: 10},
					&cli.FloatFlag{Name: "engines-per-daemon", Value: 2.6}, &cli.IntFlag{Name: "base-port", Value: 20200},
					&cli.FloatFlag{Name: "step-ms", Usage: "duration of a decode step in milliseconds"}, &cli.StringFlag{Name: "out", Required: true},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return Plan{
						DataCentres: c.Int("data-centres"), Daemons: c.Int("daemons"), Teams: c.Int("teams"),
						Models: c.Int("models"), EnginesPerDaemon: c.Float("engines-per-daemon"), BasePort: c.Int("base-port"), StepMs: c.Float("step-ms"),
					}.Write(c.String("out"))
				},
			},
			{
				Name:  "measure",
				Flags: []cli.Flag{operators, &cli.StringFlag{Name: "admin", Value: "127.0.0.1:20200"}, &cli.DurationFlag{Name: "window", Value: 10 * time.Second}},
				Action: func(ctx context.Context, c *cli.Command) error {
					list := strings.Split(c.String("operators"), ",")
					r, err := Measure(ctx, list, c.String("admin"), c.Duration("window"))
					if err != nil {
						return err
					}
					if r.SettingsChangeMs, err = MeasureSettingsChange(ctx, list); err != nil {
						return err
					}
					_, err = fmt.Fprintf(c.Root().Writer, "| %d | %.2f, %.2f | %.0f + %.0f, %.0f | %.1f, %.1f | %.1f | %.1f, %.0f bytes | %.1f, %.1f | %d |\n",
						r.Daemons, r.CPUPercent, r.MaxCPUPercent, r.BytesIn, r.BytesOut, r.MaxBytes, r.MemoryMB, r.MaxMemoryMB,
						r.Probes, r.LoadReports, r.EngineBytes, r.TableReads, r.TableWrites, r.SettingsChangeMs)
					return err
				},
			},
			{
				Name:  "await-dead",
				Flags: []cli.Flag{operators, &cli.StringFlag{Name: "name", Required: true}},
				Action: func(ctx context.Context, c *cli.Command) error {
					ms, err := AwaitDead(ctx, strings.Split(c.String("operators"), ","), c.String("name"))
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(c.Root().Writer, "all daemons report %s as dead after %d ms\n", c.String("name"), ms)
					return err
				},
			},
		},
	}
}

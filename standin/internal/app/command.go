package app

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"hemlockmux.example/standin/internal/load"
	"hemlockmux.example/standin/internal/measure"
	"hemlockmux.example/standin/internal/scale"
	"hemlockmux.example/standin/internal/usersplatform"
)

// Command returns the root command of standin.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "small stand-ins for the systems that hemlockmux uses",
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "run the platform, the engines and the services of one deployment",
				Flags: []cli.Flag{&cli.StringFlag{Name: "config", Value: "standin.toml", Usage: "configuration file"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					cfg, system, err := LoadConfig(c.String("config"))
					if err != nil {
						return err
					}
					log, err := zap.NewProduction()
					if err != nil {
						return err
					}
					return Run(ctx, cfg, system, log)
				},
			},
			{
				Name:  "measure",
				Usage: "compare variants of admission and routing in virtual time",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "seeds", Value: 5, Usage: "runs of each variant at each load"},
					&cli.StringFlag{Name: "workload", Value: "letter", Usage: "letter, poleworks or lampoterassi"},
					&cli.FloatFlag{Name: "crash-every", Usage: "mean seconds between two crashes of any engine"},
					&cli.BoolFlag{Name: "product", Usage: "only the variant that the daemon uses"},
				},
				Action: runMeasure,
			},
			{
				Name:   "users-platform",
				Usage:  "run the stand-in for the users' platform and print its addresses as JSON",
				Action: func(context.Context, *cli.Command) error { return usersplatform.Run() },
			},
			scale.Command(),
			load.Command(),
		},
	}
}

// runMeasure prints a table of results for each variant and load, without and with
// faults.
func runMeasure(_ context.Context, c *cli.Command) error {
	cfg, ok := measure.Workloads()[c.String("workload")]
	if !ok {
		return fmt.Errorf("unknown workload %q; use letter, poleworks or lampoterassi", c.String("workload"))
	}
	if every := c.Float("crash-every"); every > 0 {
		cfg.CrashEverySeconds = every
	}
	variants := measure.Variants()
	if c.Bool("product") {
		variants = variants[len(variants)-1:]
	}
	measure.Print(c.Root().Writer, cfg, measure.Compare(cfg, variants, c.Int("seeds")))
	return nil
}

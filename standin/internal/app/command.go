package app

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Command is the command line of the stand-ins.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "small stand-ins of what hemlockmux talks to",
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
		},
	}
}

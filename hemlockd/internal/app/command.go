package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"hemlockmux.example/hemlockd/internal/shared"
)

// Command is the daemon's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "hemlockd",
		Usage: "route requests to prefill and decode engines and plain services",
		Description: "hemlockd reads who it is from its own file and everything else from the settings in the platform's\n" +
			"table. SIGTERM shuts it down gracefully; a second one ends the wait for requests in flight.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: "hemlockd.toml", Usage: "the daemon's own file"},
			&cli.BoolFlag{Name: "check", Usage: "check the file and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := shared.LoadConfig(c.String("config"))
			if err != nil || c.Bool("check") {
				return err
			}
			log, err := zap.NewProduction(zap.Fields(zap.String("daemon", cfg.Name)))
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			soft, hard := stopContexts()
			return Run(soft, hard, cfg, log)
		},
	}
}

// stopContexts returns a context that ends with the first signal to stop, and
// one that ends with the second.
func stopContexts() (soft, hard context.Context) {
	soft, endSoft := context.WithCancel(context.Background())
	hard, endHard := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		endSoft()
		<-signals
		endHard()
	}()
	return soft, hard
}

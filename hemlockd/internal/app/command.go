package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/logs"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/platform"
)

// Command returns the daemon's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "hemlockd",
		Usage: "route requests to prefill and decode engines and plain services",
		Description: "hemlockd reads its identity from its own file and everything else from the settings in the platform's\n" +
			"table. SIGTERM or SIGINT shuts it down gracefully; SIGINT after that ends the wait for requests in flight.",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{platformCommand()},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: "hemlockd.toml", Usage: "the daemon's own file"},
			&cli.BoolFlag{Name: "check", Usage: "check the file and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := process.LoadConfig(c.String("config"))
			if err != nil || c.Bool("check") {
				return err
			}
			signal.Ignore(syscall.SIGHUP) // there is nothing to reload, and it would end the process
			log, err := zap.NewProduction(zap.Fields(zap.String("daemon", cfg.Name)))
			if err != nil {
				return err
			}
			defer func() { _ = log.Sync() }()
			soft, hard := stopContexts()
			return Run(soft, hard, c.String("config"), cfg, log)
		},
	}
}

// platformCommand returns the command that runs the daemon on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on the users' platform, which names the settings file in the environment",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
			&cli.IntFlag{Name: "control-bytes", Value: peers.DefaultBytesPerSecond, Usage: "maximum bytes a second sent to other daemons; above it, messages are dropped and runs ask the engine for a reservation first"},
			&cli.IntFlag{Name: "unread-answer-ms", Value: int(intake.DefaultUnreadAnswerMs), Usage: "time after which an answer is given up whose caller reads nothing of it, in ms", Validator: checkUnreadAnswer},
			&cli.IntFlag{Name: "metrics-port", Usage: "port that serves metrics at /metrics; 0: none"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			reloadSignals := catchReloadSignals()
			path, err := platform.SettingsPath()
			if err != nil {
				return err
			}
			settings, err := platform.LoadSettings(path)
			if err != nil || c.Bool("check") {
				return err
			}
			log, closeLog := logs.New(os.Stdout, settings.Name)
			defer closeLog()
			soft, hard := stopContexts()
			return RunOnPlatform(soft, hard, PlatformOptions{SettingsPath: path, ReloadSignals: reloadSignals, Settings: settings, MetricsPort: c.Int("metrics-port"), ControlBytesPerSecond: c.Int("control-bytes"), UnreadAnswerMs: clock.Millis(c.Int("unread-answer-ms"))}, log)
		},
	}
}

// checkUnreadAnswer checks the flag unread-answer-ms.
func checkUnreadAnswer(ms int) error { return intake.CheckUnreadAnswer(clock.Millis(ms)) }

// stopSignals cancels one context at the first signal to stop and another one at the
// first SIGINT after it. A repeated SIGTERM changes nothing: restarts overlap, and
// whoever stops the process kills it after a grace period of their own.
type stopSignals struct {
	signals                chan os.Signal
	cancelSoft, cancelHard context.CancelFunc
}

func (s *stopSignals) run() {
	<-s.signals
	s.cancelSoft()
	for sig := range s.signals {
		if sig == os.Interrupt {
			s.cancelHard()
		}
	}
}

// stopContexts returns a context that is cancelled by the first signal to stop and
// another one that is cancelled by SIGINT after that.
func stopContexts() (soft, hard context.Context) {
	s := &stopSignals{signals: make(chan os.Signal, 2)}
	soft, s.cancelSoft = context.WithCancel(context.Background())
	hard, s.cancelHard = context.WithCancel(context.Background())
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM)
	go s.run()
	return soft, hard
}

// Command standin runs small stand-ins for the platforms, the model engines and the
// plain services that hemlockmux uses. It also contains the load tool, the measurement
// of admission variants in virtual time, and the tool for deployments of many daemons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"hemlockmux.example/standin/internal/app"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

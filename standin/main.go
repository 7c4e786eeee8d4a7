// Command standin runs small stand-ins of the platform, the model engines and
// the plain services, and the load tool that drives them.
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

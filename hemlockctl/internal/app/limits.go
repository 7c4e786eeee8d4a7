package app

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/operatorapi"
)

// limits lists the limits that upstreams name.
func (c *ctl) limits(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Limits(ctx)
	if err != nil {
		return err
	}
	return c.print(cmd, list, func(w io.Writer) { writeLimits(w, list) })
}

// writeLimits writes one line for each limit.
func writeLimits(w io.Writer, list []operatorapi.LimitView) {
	for _, l := range list {
		fmt.Fprintf(w, "limit\t%s\t%.1f a second\tshare here %.1f, used %d\tsince %d ms\tlast named %d ms ago\n",
			l.Upstream, l.PerSecond, l.Share, l.Used, l.SinceMs, l.ConfirmedMs)
	}
}

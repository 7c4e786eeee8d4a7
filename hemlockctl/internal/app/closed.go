package app

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/operatorapi"
)

// closed lists the upstreams that the daemon sends nothing because of what they have announced.
func (c *ctl) closed(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Closed(ctx)
	if err != nil {
		return err
	}
	return c.print(cmd, list, func(w io.Writer) { writeClosed(w, list) })
}

// writeClosed writes one line for each upstream.
func writeClosed(w io.Writer, list []operatorapi.ClosedView) {
	for _, u := range list {
		if u.LeftMs > 0 {
			fmt.Fprintf(w, "closed\t%s\t%s\tfor another %d ms\n", u.Upstream, u.Reason, u.LeftMs)
			continue
		}
		fmt.Fprintf(w, "closed\t%s\t%s\tsince %d ms\n", u.Upstream, u.Reason, u.SinceMs)
	}
}

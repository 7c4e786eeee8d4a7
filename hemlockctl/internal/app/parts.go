package app

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/operatorapi"
)

// partsCommand returns the commands for parts of prompts that crash engines.
func (c *ctl) partsCommand() *cli.Command {
	return &cli.Command{
		Name: "parts", Usage: "the parts of prompts that are refused because engines crashed on them",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the parts that the daemon refuses", Action: c.parts},
			{
				Name: "lift", Usage: "lift the refusal of a part at all daemons",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "model", Required: true, Usage: "model whose engines crashed"},
					&cli.StringFlag{Name: "part", Required: true, Usage: "id of the part, as list shows it"},
				},
				Action: c.liftOwnPart,
			},
		},
	}
}

func (c *ctl) parts(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Parts(ctx)
	if err != nil {
		return err
	}
	return c.print(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "PART\tMODEL\tENGINES CRASHED\tLAST CRASH (MS AGO)\tLAST TRY (MS AGO)\tLAST REFUSAL (MS AGO)")
		for _, p := range list {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", p.Part, p.Service, len(p.Engines), p.SinceCrashMs, p.SinceTryMs, p.SinceRefusalMs)
		}
	})
}

func (c *ctl) liftOwnPart(ctx context.Context, cmd *cli.Command) error {
	lift := operatorapi.LiftPartRequest{Service: cmd.String("model"), Part: cmd.String("part")}
	response, err := client(cmd).LiftPart(ctx, lift)
	if err != nil {
		return err
	}
	return c.print(cmd, response, func(w io.Writer) { fmt.Fprintf(w, "lifted\t%s\t%s\n", lift.Part, lift.Service) })
}

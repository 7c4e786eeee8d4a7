package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockctl/internal/operator"
	"hemlockmux.example/hemlockctl/internal/tree"
)

func (c *ctl) settingsCommand() *cli.Command {
	return &cli.Command{
		Name: "settings", Usage: "read and change the settings",
		Commands: []*cli.Command{
			{Name: "get", Usage: "write the newest settings as files", ArgsUsage: "DIR", Action: c.get},
			{Name: "check", Usage: "check files without a daemon", ArgsUsage: "DIR", Action: c.check},
			{Name: "diff", Usage: "show how files differ from the newest settings", ArgsUsage: "DIR", Action: c.diff},
			{
				Name: "apply", Usage: "make files the settings in force", ArgsUsage: "DIR", Action: c.apply,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "comment", Usage: "why, for the audit trail"},
					&cli.StringFlag{Name: "change-id", Usage: "settles an earlier apply whose answer was lost"},
					&cli.BoolFlag{Name: "delete", Usage: "delete teams whose files are missing"},
					&cli.DurationFlag{Name: "wait", Usage: "wait until all live daemons known have it in force"},
				},
			},
			{
				Name: "history", Usage: "show the audit trail", Action: c.history,
				Flags: []cli.Flag{&cli.Int64Flag{Name: "after", Usage: "only versions after this one"}, &cli.BoolFlag{Name: "changes", Usage: "show the changed lines"}},
			},
			{Name: "status", Usage: "show which data centres have the newest settings in force", Action: c.status},
			{Name: "reference", Usage: "print the reference of all settings", Action: c.reference},
		},
	}
}

func (c *ctl) get(ctx context.Context, cmd *cli.Command) error {
	dir, err := oneArgument(cmd, "the directory to write")
	if err != nil {
		return err
	}
	answer, err := client(cmd).Settings(ctx)
	if err != nil {
		return err
	}
	if err := tree.Write(dir, tree.Base{Version: answer.Version, Nodes: answer.Nodes}); err != nil {
		return err
	}
	if !answer.FromPlatform {
		fmt.Fprintln(c.out, "the platform is out of reach: these are the settings in force at the daemon")
	}
	fmt.Fprintf(c.out, "version %d written to %s\n", answer.Version, dir)
	return nil
}

func (c *ctl) check(_ context.Context, cmd *cli.Command) error {
	dir, err := oneArgument(cmd, "the directory to check")
	if err != nil {
		return err
	}
	nodes, err := tree.Read(dir)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(1, nodes); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d files are in order\n", len(nodes))
	return nil
}

// localChanges returns how the files of dir differ from what they were taken
// from, or from the newest settings where that is not known.
func localChanges(ctx context.Context, cmd *cli.Command, dir string, deleteMissing bool) (tree.Base, []settings.NodeChange, error) {
	local, err := tree.Read(dir)
	if err != nil {
		return tree.Base{}, nil, err
	}
	base, known, err := tree.ReadBase(dir)
	if err != nil {
		return tree.Base{}, nil, err
	}
	if !known {
		answer, err := client(cmd).Settings(ctx)
		if err != nil {
			return tree.Base{}, nil, err
		}
		base = tree.Base{Version: answer.Version, Nodes: answer.Nodes}
	}
	return base, tree.Changes(base.Nodes, local, deleteMissing), nil
}

func (c *ctl) diff(ctx context.Context, cmd *cli.Command) error {
	dir, err := oneArgument(cmd, "the directory to compare")
	if err != nil {
		return err
	}
	local, err := tree.Read(dir)
	if err != nil {
		return err
	}
	answer, err := client(cmd).Settings(ctx)
	if err != nil {
		return err
	}
	changes := tree.Changes(answer.Nodes, local, true)
	return c.print(cmd, changes, func(w io.Writer) {
		fmt.Fprintf(w, "compared with version %d: %d files differ\n", answer.Version, len(changes))
		for _, change := range changes {
			fmt.Fprint(w, tree.FormatChange(change))
		}
	})
}

func (c *ctl) apply(ctx context.Context, cmd *cli.Command) error {
	dir, err := oneArgument(cmd, "the directory to apply")
	if err != nil {
		return err
	}
	base, changes, err := localChanges(ctx, cmd, dir, cmd.Bool("delete"))
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintf(c.out, "nothing to change: the files are those of version %d\n", base.Version)
		return nil
	}
	change := settings.Change{ChangeID: cmd.String("change-id"), Comment: cmd.String("comment"), BaseVersion: base.Version, Nodes: changes}
	if change.ChangeID == "" {
		change.ChangeID = settings.NewChangeID()
	}
	answer, err := client(cmd).Apply(ctx, change)
	if err != nil {
		return c.explain(err, change)
	}
	if err := c.rebase(ctx, cmd, dir, base, changes, answer.Version); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "accepted as version %d (change %s)\n", answer.Version, change.ChangeID)
	if wait := cmd.Duration("wait"); wait > 0 {
		return c.waitInForce(ctx, cmd, answer.Version, wait)
	}
	return nil
}

// rebase remembers that the files of dir are now those of version. Files that
// others changed meanwhile keep their old base, so that they show as changed.
func (c *ctl) rebase(_ context.Context, _ *cli.Command, dir string, base tree.Base, changes []settings.NodeChange, version int64) error {
	nodes := map[string]settings.Node{}
	for _, n := range base.Nodes {
		nodes[n.Path] = n
	}
	for _, change := range changes {
		nodes[change.Path] = settings.Node{Path: change.Path, Version: version, Text: change.After, Deleted: change.Deleted}
	}
	next := tree.Base{Version: base.Version}
	if version == base.Version+1 {
		next.Version = version
	}
	for _, n := range nodes {
		next.Nodes = append(next.Nodes, n)
	}
	return tree.WriteBase(dir, next)
}

// explain adds what an operator needs to know to a refused apply.
func (c *ctl) explain(err error, change settings.Change) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return fmt.Errorf("%w\nwhether the change was accepted is not known; apply again with --change-id %s to settle it", err, change.ChangeID)
	}
	var refused *operator.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	for _, row := range refused.Refusal.Conflicting {
		fmt.Fprintf(c.out, "version %d by %s at %s %s\n", row.Version, row.Operator, row.AtMs.Time().Format(time.DateTime), row.Comment)
		for _, theirs := range row.Changes {
			fmt.Fprint(c.out, tree.FormatChange(theirs))
		}
	}
	if refused.Refusal.Code == operatorapi.CodeConflict {
		return fmt.Errorf("%w\nget the newest settings, make the change there and apply again", err)
	}
	return err
}

// waitInForce waits until every live daemon has a version in force.
func (c *ctl) waitInForce(ctx context.Context, cmd *cli.Command, version int64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		list, err := client(cmd).Daemons(ctx)
		if err == nil && len(behind(list, version)) == 0 {
			fmt.Fprintf(c.out, "in force in all %d live daemons\n", len(live(list)))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted, but not yet confirmed by %v", behind(list, version))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func live(list []operatorapi.DaemonStatus) []operatorapi.DaemonStatus {
	var alive []operatorapi.DaemonStatus
	for _, d := range list {
		if d.State != "dead" {
			alive = append(alive, d)
		}
	}
	return alive
}

// behind names the live daemons that have not confirmed a version.
func behind(list []operatorapi.DaemonStatus, version int64) []string {
	var names []string
	for _, d := range live(list) {
		if d.SettingsVersion < version {
			names = append(names, d.Name)
		}
	}
	return names
}

func (c *ctl) history(ctx context.Context, cmd *cli.Command) error {
	rows, err := client(cmd).History(ctx, cmd.Int64("after"))
	if err != nil {
		return err
	}
	return c.print(cmd, rows, func(w io.Writer) {
		fmt.Fprintln(w, "VERSION\tFROM\tOPERATOR\tTIME (UTC)\tCHANGED\tCOMMENT")
		for _, row := range rows {
			paths := ""
			for _, change := range row.Changes {
				paths += change.Path + " "
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", row.Version, row.PreviousVersion, row.Operator, row.AtMs.Time().Format(time.DateTime), paths, row.Comment)
			for _, change := range row.Changes {
				if cmd.Bool("changes") {
					fmt.Fprint(w, tree.FormatChange(change))
				}
			}
		}
	})
}

// dataCentreStatus is how far the newest settings have come in a data centre.
type dataCentreStatus struct {
	DataCentre string   `json:"dataCentre"`
	Live       int      `json:"live"`
	Confirmed  int      `json:"confirmed"`
	Behind     []string `json:"behind,omitempty"`
	Dead       []string `json:"dead,omitempty"`
}

func (c *ctl) status(ctx context.Context, cmd *cli.Command) error {
	answer, err := client(cmd).Settings(ctx)
	if err != nil {
		return err
	}
	list, err := client(cmd).Daemons(ctx)
	if err != nil {
		return err
	}
	status := map[string]*dataCentreStatus{}
	var order []string
	for _, d := range list {
		s, ok := status[d.DataCentre]
		if !ok {
			s = &dataCentreStatus{DataCentre: d.DataCentre}
			status[d.DataCentre] = s
			order = append(order, d.DataCentre)
		}
		switch {
		case d.State == "dead":
			s.Dead = append(s.Dead, d.Name)
			continue
		case d.SettingsVersion >= answer.Version:
			s.Confirmed++
		default:
			s.Behind = append(s.Behind, d.Name+" at "+strconv.FormatInt(d.SettingsVersion, 10))
		}
		s.Live++
	}
	rows := make([]dataCentreStatus, 0, len(order))
	for _, dc := range order {
		rows = append(rows, *status[dc])
	}
	return c.print(cmd, rows, func(w io.Writer) {
		fmt.Fprintf(w, "newest version: %d\n", answer.Version)
		if !answer.FromPlatform {
			fmt.Fprintln(w, "the platform is out of reach: there may be a newer one")
		}
		fmt.Fprintln(w, "DATA CENTRE\tCONFIRMED\tLIVE\tBEHIND\tDEAD")
		for _, s := range rows {
			fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\n", s.DataCentre, s.Confirmed, s.Live, s.Behind, s.Dead)
		}
	})
}

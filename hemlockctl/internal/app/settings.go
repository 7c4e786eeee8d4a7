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
				Name: "apply", Usage: "change the settings to those in the files", ArgsUsage: "DIR", Action: c.apply,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "comment", Usage: "reason of the change, for the audit trail"},
					&cli.StringFlag{Name: "change-id", Usage: "id of an earlier apply whose outcome is unknown, to repeat it safely"},
					&cli.BoolFlag{Name: "delete", Usage: "delete teams whose files are missing"},
					&cli.DurationFlag{Name: "wait", Usage: "wait until the change is in force in all known live daemons"},
				},
			},
			{
				Name: "history", Usage: "show the audit trail", Action: c.history,
				Flags: []cli.Flag{&cli.Int64Flag{Name: "after", Usage: "only versions after this one"}, &cli.BoolFlag{Name: "changes", Usage: "show the changed lines"}},
			},
			{Name: "status", Usage: "show in which data centres the newest settings are in force", Action: c.status},
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
		fmt.Fprintln(c.out, "the platform is unavailable: these are the settings in force at the daemon")
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
	fmt.Fprintf(c.out, "%d files are valid\n", len(nodes))
	return nil
}

// localChanges returns the base of the files of dir and how they differ from it. If no
// base is recorded, the newest settings are the base.
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
		fmt.Fprintf(c.out, "nothing to change: the files are equal to version %d\n", base.Version)
		return nil
	}
	change := settings.Change{ChangeID: cmd.String("change-id"), Comment: cmd.String("comment"), BaseVersion: base.Version, Nodes: changes}
	if change.ChangeID == "" {
		change.ChangeID = settings.NewChangeID()
	}
	answer, err := client(cmd).Apply(ctx, change)
	if err != nil {
		return c.explainApplyError(err, change)
	}
	if err := c.recordBase(ctx, cmd, dir, base, changes, answer.Version); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "accepted as version %d (change %s)\n", answer.Version, change.ChangeID)
	if wait := cmd.Duration("wait"); wait > 0 {
		return c.waitInForce(ctx, cmd, answer.Version, wait)
	}
	return nil
}

// recordBase records that the changed files of dir are now those of version. If another
// change was accepted since the base, the base keeps its version, so that an apply to
// a node of that change is still refused as a conflict. An apply to a node of this
// change is then refused as well.
func (c *ctl) recordBase(_ context.Context, _ *cli.Command, dir string, base tree.Base, changes []settings.NodeChange, version int64) error {
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

// explainApplyError prints the conflicting changes of a refused apply and adds to the
// error what the operator can do.
func (c *ctl) explainApplyError(err error, change settings.Change) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return fmt.Errorf("%w\nnot known whether the change was accepted; apply again with --change-id %s to find out", err, change.ChangeID)
	}
	var refused *operator.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	for _, row := range refused.Refusal.Conflicting {
		fmt.Fprintf(c.out, "version %d by %s at %s %s\n", row.Version, row.Operator, row.AtMs.Time().Format(time.DateTime), row.Comment)
		for _, conflicting := range row.Changes {
			fmt.Fprint(c.out, tree.FormatChange(conflicting))
		}
	}
	if refused.Refusal.Code == operatorapi.CodeConflict {
		return fmt.Errorf("%w\nfetch the newest settings with hemlockctl settings get, repeat the change and apply again", err)
	}
	return err
}

// waitInForce waits until a version is in force in every live daemon.
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
			return fmt.Errorf("accepted, but not yet in force in %v", behind(list, version))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// live returns the daemons that are not dead.
func live(list []operatorapi.DaemonStatus) []operatorapi.DaemonStatus {
	var alive []operatorapi.DaemonStatus
	for _, d := range list {
		if d.State != "dead" {
			alive = append(alive, d)
		}
	}
	return alive
}

// behind returns the names of the live daemons in which a version is not in force yet.
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

// dataCentreStatus says in which daemons of a data centre the newest settings are in
// force.
type dataCentreStatus struct {
	// DataCentre is the name of the data centre.
	DataCentre string `json:"dataCentre"`
	// Live is the number of live daemons.
	Live int `json:"live"`
	// Confirmed is the number of live daemons with the newest settings in force.
	Confirmed int `json:"confirmed"`
	// Behind holds the other live daemons, each with its version.
	Behind []string `json:"behind,omitempty"`
	// Dead holds the names of the dead daemons.
	Dead []string `json:"dead,omitempty"`
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
			fmt.Fprintln(w, "the platform is unavailable: there may be a newer version")
		}
		fmt.Fprintln(w, "DATA CENTRE\tCONFIRMED\tLIVE\tBEHIND\tDEAD")
		for _, s := range rows {
			fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\n", s.DataCentre, s.Confirmed, s.Live, s.Behind, s.Dead)
		}
	})
}

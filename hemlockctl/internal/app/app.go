// Package app implements the commands of hemlockctl.
//
// # Usage
//
//	os.Exit(app.Run(ctx, os.Args, os.Stdout, os.Stderr))
package app

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockctl/internal/operator"
)

// Exit codes of hemlockctl.
const (
	ExitOK             = 0
	ExitError          = 1 // any other error
	ExitUsage          = 2 // the command line is invalid
	ExitBadSettings    = 3 // the settings are invalid
	ExitConflict       = 4 // the same settings were changed meanwhile
	ExitOutcomeUnknown = 5 // it is not known whether the change was accepted
	ExitUnavailable    = 6 // the daemon or the platform is unavailable
	ExitNotFound       = 7 // the request or its verdict was not found
	ExitDenied         = 8 // the key is not an operator's
)

// exitCodes maps operatorapi.Refusal.Code to the exit code.
var exitCodes = map[string]int{
	operatorapi.CodeBadSettings: ExitBadSettings, operatorapi.CodeConflict: ExitConflict,
	operatorapi.CodeOutcomeUnknown: ExitOutcomeUnknown, operatorapi.CodeUnavailable: ExitUnavailable,
	operatorapi.CodeNotFound: ExitNotFound, operatorapi.CodeDenied: ExitDenied,
	operatorapi.CodeBadRequest: ExitUsage,
}

// UsageError reports an invalid command line.
type UsageError struct {
	// Text says what is wrong.
	Text string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Text }

// ctl holds what all commands share.
type ctl struct {
	out io.Writer
}

// Run executes a command line, whose first element is the program's name, and returns
// the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &ctl{out: out}
	command := c.command(errOut)
	reportUsage(command)
	err := command.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "hemlockctl:", err)
	return exitCode(err)
}

// reportUsage makes command and its subcommands report an invalid command line as a
// *UsageError.
func reportUsage(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Text: err.Error()}
	}
	for _, sub := range command.Commands {
		reportUsage(sub)
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var refused *operator.RefusedError
	var unreachable *operator.UnreachableError
	var bad *settings.BadSettingsError
	var usage *UsageError
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		return ExitNotFound
	case errors.As(err, &refused):
		if code, ok := exitCodes[refused.Refusal.Code]; ok {
			return code
		}
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &bad):
		return ExitBadSettings
	case errors.As(err, &usage):
		return ExitUsage
	}
	return ExitError
}

const description = `Operators change what hemlockmux does only by changing settings: a tree of TOML
files, system.toml and one file for each team under teams/.

Exit codes: 0 success; 1 other error; 2 invalid command line; 3 invalid settings;
4 another operator changed the same settings; 5 not known whether the change was
accepted (apply again with the same --change-id); 6 daemon or platform
unavailable; 7 not found; 8 the key is not an operator's.

Examples:
  hemlockctl settings get my-settings
  hemlockctl settings diff my-settings
  hemlockctl settings apply my-settings --comment "raise the quote team's limit"
  hemlockctl verdict brandon-a-1~mf3k2j1c~0a1b2c3d4e5f`

func (c *ctl) command(errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name: "hemlockctl", Usage: "the operators' client of hemlockmux", Description: description,
		EnableShellCompletion: true,
		Writer:                c.out, ErrWriter: errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Value: "127.0.0.1:8081", Usage: "IP:port of a daemon's operators' port", Sources: cli.EnvVars("HEMLOCK_OPERATOR")},
			&cli.StringFlag{Name: "key", Usage: "the operator's key", Sources: cli.EnvVars("HEMLOCK_OPERATOR_KEY")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of tables"},
		},
		Commands: []*cli.Command{
			c.settingsCommand(),
			{Name: "verdict", Usage: "show the outcome of a request", ArgsUsage: "REQUEST-ID", Action: c.verdict},
			{Name: "daemons", Usage: "list the daemons and the settings version in force in each", Action: c.daemons},
			{Name: "upstreams", Usage: "list the upstreams as seen by the daemon", Action: c.upstreams},
			c.partsCommand(),
			{Name: "closed", Usage: "the upstreams that are sent nothing, because they shut down or asked this daemon to wait", Action: c.closed},
			{Name: "limits", Usage: "the limits that upstreams name in their answers", Action: c.limits},
			c.keysCommand(),
			c.explainCommand(),
			c.platformCommand(),
		},
	}
}

// client returns a client of the daemon that the flags name.
func client(cmd *cli.Command) *operator.Client {
	return operator.New(cmd.String("operator"), cmd.String("key"))
}

// oneArgument returns the only argument of a command; what describes it in the error.
func oneArgument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", &UsageError{Text: fmt.Sprintf("%s takes one argument: %s", cmd.FullName(), what)}
	}
	return cmd.Args().First(), nil
}

// print writes v as JSON if the flag json is set, else the table that table writes.
func (c *ctl) print(cmd *cli.Command, v any, table func(w io.Writer)) error {
	if cmd.Bool("json") {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func (c *ctl) verdict(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "the request id from the X-Request-Id header")
	if err != nil {
		return err
	}
	answer, err := client(cmd).Verdict(ctx, id)
	if err != nil {
		return err
	}
	v := answer.Verdict
	return c.print(cmd, answer, func(w io.Writer) {
		fmt.Fprintf(w, "request\t%s\noutcome\t%s\nran\t%s\n", v.RequestID, v.Outcome, v.Ran)
		if v.Reason != "" {
			fmt.Fprintf(w, "reason\t%s: %s\n", v.Reason, v.Detail)
		}
		fmt.Fprintf(w, "status\t%d\nteam\t%s\ntarget\t%s\n", v.Status, v.Team, v.Target)
		fmt.Fprintf(w, "daemon\t%s in %s\nsettings\tversion %d\n", v.Daemon, v.DataCentre, v.SettingsVersion)
		fmt.Fprintf(w, "arrived\t%s\ntook\t%d ms\nreplayed\t%t\nfound at\t%s\n", v.StartMs.Time().Format("2006-01-02 15:04:05.000"), v.EndMs-v.StartMs, v.Replayed, answer.Source)
		for _, a := range v.Attempts {
			fmt.Fprintf(w, "attempt\t%s %s: %s, %d ms %s\n", a.Phase, a.Upstream, a.Result, a.EndMs-a.StartMs, a.Cause)
		}
	})
}

func (c *ctl) daemons(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Daemons(ctx)
	if err != nil {
		return err
	}
	return c.print(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "DAEMON\tDATA CENTRE\tSTATE\tSETTINGS\tLAST HEARD (MS AGO)\tADDRESS")
		for _, d := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", d.Name, d.DataCentre, d.State, d.SettingsVersion, d.SinceHeardMs, d.Address)
		}
	})
}

func (c *ctl) upstreams(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Upstreams(ctx)
	if err != nil {
		return err
	}
	return c.print(cmd, list, func(w io.Writer) {
		fmt.Fprintln(w, "UPSTREAM\tKIND\tDATA CENTRE\tSTATE\tKEEPER\tIN FLIGHT\tPIECES")
		for _, u := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", u.Name, u.Kind, u.DataCentre, u.State, u.Keeper, u.InFlight, u.PiecesHeld)
		}
	})
}

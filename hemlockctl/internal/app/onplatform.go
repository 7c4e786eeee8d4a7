package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockctl/internal/account"
	"hemlockmux.example/platform"
)

// platformTimeout is the time limit of a command's calls to a daemon or the store.
const platformTimeout = 10 * clock.Second

// NotFoundError reports that nothing was found about a request.
type NotFoundError struct {
	// Request is the id of the request.
	Request string
	// Where names what was searched, such as "the logs".
	Where string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %s not found in %s", e.Request, e.Where)
}

// explainCommand returns the command that prints the account of one request from the
// logs of daemons.
func (c *ctl) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the outcome of a request and its causes from the daemons' logs",
		ArgsUsage: "REQUEST-ID [LOG ...]", Description: "Without files the log is read from standard input.",
		Action: c.explainRequest,
	}
}

func (c *ctl) explainRequest(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return &UsageError{Text: "explain takes a request id, followed by any number of log files"}
	}
	id, files := cmd.Args().First(), cmd.Args().Tail()
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	a, ok := account.ForRequest(id, lines)
	if !ok {
		return &NotFoundError{Request: id, Where: "the logs"}
	}
	return c.print(cmd, a, a.Write)
}

// readLogs reads the lines of all files, or of standard input if there are none.
func readLogs(files []string) ([]account.Line, error) {
	if len(files) == 0 {
		return account.Read(os.Stdin)
	}
	var all []account.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := account.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// platformCommand returns the commands for the users' platform.
func (c *ctl) platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "query daemons and the store on the users' platform",
		Commands: []*cli.Command{
			{
				Name: "beliefs", Usage: "show a daemon's view of the configuration, the upstreams, the engines' memory and the other daemons",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "daemon", Required: true, Usage: "IP:port of the daemon's port for other daemons"}},
				Action: c.beliefs,
			},
			{
				Name: "lift", Usage: "lift the refusal of a part of prompts at all daemons",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "daemon", Required: true, Usage: "IP:port of a daemon's port for other daemons"},
					&cli.StringFlag{Name: "service", Required: true, Usage: "service whose engines crashed"},
					&cli.StringFlag{Name: "part", Required: true, Usage: "id of the part, as beliefs shows it"},
				},
				Action: c.liftPart,
			},
			{
				Name: "verdict", Usage: "show the outcome of a request from the store", ArgsUsage: "REQUEST-ID",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "store", Required: true, Usage: "IP:port of the platform's store"}},
				Action: c.storedVerdict,
			},
		},
	}
}

func (c *ctl) beliefs(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout.Duration())
	defer cancel()
	var b operatorapi.DaemonView
	if err := callDaemon(ctx, cmd.String("daemon"), operatorapi.MethodDaemonView, struct{}{}, &b); err != nil {
		return err
	}
	return c.print(cmd, b, func(w io.Writer) {
		fmt.Fprintf(w, "daemon\t%s in %s\nconfiguration\tversion %d\nready\t%t\nopen requests\t%d\nlast store failure\t%d ms ago\n",
			b.Daemon, b.DataCentre, b.Version, b.Ready, b.OpenRequests, b.SinceStoreFailureMs)
		for _, u := range b.Upstreams {
			fmt.Fprintf(w, "upstream\t%s\t%s\t%s\t%s\tleaving %t\tdown %t\n", u.Upstream, u.Service, u.Role, u.Address, u.Leaving, u.Down)
		}
		for _, e := range b.Engines {
			fmt.Fprintf(w, "engine\t%s\t%d runs\tforecast %d of %d tokens\t%.2f ms a token\n", e.Engine, e.Runs, e.ForecastTokens, e.MemoryTokens, e.MsPerToken)
		}
		for _, r := range b.RefusedParts {
			fmt.Fprintf(w, "refused part\t%s\t%s\t%d engines crashed\tlast %d ms ago\n", r.Part, r.Service, len(r.Engines), r.SinceCrashMs)
		}
		writeLimits(w, b.Limits)
		writeClosed(w, b.Closed)
		for _, p := range b.Daemons {
			fmt.Fprintf(w, "peer\t%s\t%s\t%s\tversion %d\tlast heard %d ms ago\n", p.Daemon, p.DataCentre, p.Address, p.Version, p.SinceHeardMs)
		}
	})
}

// callDaemon calls a method of a daemon.
func callDaemon(ctx context.Context, daemon, method string, request, response any) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", daemon)
	if err != nil {
		return fmt.Errorf("connect to the daemon: %w", err)
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls))
	defer func() { _ = rpc.Close() }()
	if err := rpc.Call(ctx, method, request, response); err != nil {
		return fmt.Errorf("call the daemon: %w", err)
	}
	return nil
}

func (c *ctl) liftPart(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout.Duration())
	defer cancel()
	request := operatorapi.LiftPartRequest{Service: cmd.String("service"), Part: cmd.String("part")}
	var response operatorapi.LiftPartResponse
	if err := callDaemon(ctx, cmd.String("daemon"), operatorapi.MethodLiftPart, request, &response); err != nil {
		return err
	}
	if !response.Lifted {
		return &NotRefusedError{Service: request.Service, Part: request.Part}
	}
	return c.print(cmd, response, func(w io.Writer) { fmt.Fprintf(w, "lifted\t%s\t%s\n", request.Part, request.Service) })
}

// NotRefusedError reports that a part of prompts is not refused, so that there is nothing to
// lift.
type NotRefusedError struct {
	// Service is the name of the service.
	Service string
	// Part is the id of the part.
	Part string
}

// Error implements error.
func (e *NotRefusedError) Error() string {
	return fmt.Sprintf("part %s is not refused for service %s", e.Part, e.Service)
}

// refuseCalls is the handler of calls by the daemon, which are not supported.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "hemlockctl serves no methods"}
}

func (c *ctl) storedVerdict(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "the request id of the caller's attempt")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout.Duration())
	defer cancel()
	store, closeStore := platform.NewStore(cmd.String("store"))
	defer closeStore()
	v, err := findVerdict(ctx, store, id)
	if err != nil {
		return err
	}
	return c.print(cmd, v, func(w io.Writer) {
		_ = json.NewEncoder(w).Encode(v)
		fmt.Fprintf(w, "arrived\t%s\n", v.StartMs.Time().Format(time.RFC3339Nano))
	})
}

// findVerdict searches the stored batches for the verdict of a request, in descending
// order of the objects' names.
func findVerdict(ctx context.Context, store *platform.Store, id string) (verdict.Verdict, error) {
	names, err := store.Objects(ctx, verdict.BatchPrefix)
	if err != nil {
		return verdict.Verdict{}, err
	}
	slices.Reverse(names)
	for _, name := range names {
		data, err := store.Object(ctx, name)
		if err != nil {
			return verdict.Verdict{}, err
		}
		all, err := verdict.DecodeBatch(data)
		if err != nil {
			return verdict.Verdict{}, fmt.Errorf("%s: %w", name, err)
		}
		for _, v := range all {
			if v.RequestID == id {
				return v, nil
			}
		}
	}
	return verdict.Verdict{}, &NotFoundError{Request: id, Where: "the store"}
}

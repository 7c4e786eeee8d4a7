package app

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"reflect"

	"github.com/urfave/cli/v3"

	"hemlockmux.example/common/settings"
)

// keyBytes is the number of random bytes of a key that keys new generates.
const keyBytes = 24

func (c *ctl) keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "generate keys for teams and operators",
		Commands: []*cli.Command{
			{Name: "new", Usage: "generate a key and its hash for the settings", Action: c.newKey},
			{Name: "hash", Usage: "print the hash of a key", ArgsUsage: "KEY", Action: c.hashKey},
		},
	}
}

// keyPair holds a key and its hash.
type keyPair struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (c *ctl) newKey(_ context.Context, cmd *cli.Command) error {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	key := base64.RawURLEncoding.EncodeToString(b[:])
	return c.print(cmd, keyPair{Key: key, Hash: settings.HashKey(key)}, func(w io.Writer) {
		fmt.Fprintf(w, "key\t%s\nhash\t%s\n", key, settings.HashKey(key))
	})
}

func (c *ctl) hashKey(_ context.Context, cmd *cli.Command) error {
	key, err := oneArgument(cmd, "the key")
	if err != nil {
		return err
	}
	fmt.Fprintln(c.out, settings.HashKey(key))
	return nil
}

// reference prints the reference page of the settings, generated from their structs.
func (c *ctl) reference(context.Context, *cli.Command) error {
	fmt.Fprint(c.out, "# Settings reference\n\nMade by `hemlockctl settings reference` from the settings' structs; do not edit.\n")
	section := func(title, file string, v any) {
		fmt.Fprintf(c.out, "\n## %s\n\n%s\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n", title, file)
		value := reflect.ValueOf(v)
		for field, v := range value.Fields() {
			fmt.Fprintf(c.out, "| `%s` | %s | %s | %s |\n", field.Tag.Get("toml"), typeName(field.Type), defaultText(v), field.Tag.Get("doc"))
		}
	}
	section("System", "The tables of `system.toml`.", settings.System{})
	section("Policy", "`[policy]` in `system.toml`.", settings.DefaultSystem().Policy)
	section("Data centres", "`[dataCentres.NAME]` in `system.toml`.", settings.DataCentre{})
	section("Models", "`[models.NAME]` in `system.toml`.", settings.DefaultModel())
	section("Services", "`[services.NAME]` in `system.toml`.", settings.DefaultService())
	section("Upstreams", "`[upstreams.NAME]` in `system.toml`.", settings.Upstream{})
	section("Operators", "`[operators.NAME]` in `system.toml`.", settings.Operator{})
	section("Teams", "`teams/NAME.toml`.", settings.DefaultTeam())
	section("Keys", "`[keys.NAME]` in `teams/NAME.toml`.", settings.Key{})
	return nil
}

// typeName returns the name of a field's type in the reference page.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "number"
	case reflect.Map:
		return "tables"
	case reflect.Struct:
		return "table"
	case reflect.Slice:
		return "list"
	}
	return "whole number"
}

// defaultText returns a default as it is written in the reference page; empty for
// tables, lists and empty texts.
func defaultText(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Map, reflect.Struct, reflect.Slice:
		return ""
	case reflect.String:
		if v.String() == "" {
			return ""
		}
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

package main

import (
	"context"
	"flag"
	"math"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/version/api"
)

// editFlags are common to the commands that change one object that stands.
type editFlags struct {
	operator   *operatorFlags
	operation  string
	revision   uint64
	dryRun     bool
	wait       bool
	allowBroad bool
}

func (f *editFlags) register(flagSet *flag.FlagSet) {
	flagSet.StringVar(&f.operation, "operation-id", "", "name of this change; a resend under the same name gets the first answer (default: drawn)")
	cli.UintFlag(flagSet, &f.revision, "revision", 0, math.MaxUint64, "change the object only if it still has this revision; 0: whichever it has")
	cli.BoolFlag(flagSet, &f.dryRun, "dry-run", "show which engines would change, and change nothing")
	cli.BoolFlag(flagSet, &f.wait, "wait", "return when the change is in force on every daemon")
	cli.BoolFlag(flagSet, &f.allowBroad, "allow-broad", "lift the bound on how many engines one change may move")
}

// edit changes the object by compare-and-set; change reports false when the
// object already is as wanted, and then nothing is sent.
func (f *editFlags) edit(ctx context.Context, to cli.Streams, key api.Key, change func(*api.Object) bool) error {
	if f.dryRun && f.wait {
		return cli.UsageError{Field: "wait", Message: "must not stand with --dry-run, which changes nothing"}
	}
	edited := write{
		operationID: f.operation,
		dryRun:      f.dryRun,
		allowBroad:  f.allowBroad,
		given:       revisions{},
		keys:        []api.Key{key},
		edits:       true,
	}
	if f.revision != 0 {
		edited.given[key] = f.revision
	}
	edited.build = func(current map[api.Key]*api.Object) ([]api.Write, error) {
		object := current[key]
		if object == nil {
			return nil, errors.Errorf("%s does not exist", key)
		}
		if !change(object) && f.revision == 0 {
			return nil, nil
		}
		return []api.Write{{Object: *object}}, nil
	}
	return edited.report(ctx, to, f.operator, f.wait)
}

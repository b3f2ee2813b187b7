package main

import (
	"context"
	"math"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/api"
)

// actionList reads the members; the others change them.
const actionList = "list"

// memberFlags are the flags of members.
type memberFlags struct {
	operator *operatorFlags
	id       uint64
	name     string
	peer     string
	feed     string
	address  string
}

func membersCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("members")
	flags := &memberFlags{operator: newOperatorFlags(flagSet)}
	cli.UintFlag(flagSet, &flags.id, "id", 0, math.MaxUint64, "the member's ID, as list prints it")
	flagSet.StringVar(&flags.name, "name", "", "name of a member to add")
	flagSet.StringVar(&flags.peer, "peer-address", "", "peer address of a member to add")
	flagSet.StringVar(&flags.feed, "feed-address", "", "feed address of a member to add")
	flagSet.StringVar(&flags.address, "operator-address", "", "operator address of a member to add")
	return &ffcli.Command{
		Name:       "members",
		ShortUsage: "landingtrail members [list|add|promote|remove] [flags]",
		ShortHelp:  "List the control members, or change them one step at a time",
		LongHelp: "A change is not resent after a lost answer (exit 5): list the members, then decide.\n\n" +
			cli.ExampleHelp("landingtrail members --endpoints 127.0.0.1:7121",
				"landingtrail members remove --id 7301 --endpoints 127.0.0.1:7121"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				args = []string{actionList}
			}
			if err := cli.Exactly(args, "action"); err != nil {
				return err
			}
			return members(ctx, to, flags, args[0])
		},
	}
}

func members(ctx context.Context, to cli.Streams, flags *memberFlags, action string) error {
	request, err := flags.request(action)
	if err != nil {
		return err
	}
	client, err := flags.operator.client()
	if err != nil {
		return err
	}
	reply, err := changeOrList(ctx, client, request)
	if err != nil {
		return err
	}
	if flags.operator.output == cli.OutputJSON {
		return cli.PrintJSON(to.Out, reply)
	}
	return printMembers(to, reply.Members)
}

// request returns the checked change; its action is empty for a list.
func (f *memberFlags) request(action string) (operatorapi.MemberRequest, error) {
	request := operatorapi.MemberRequest{
		Action: operatorapi.MemberAction(action),
		ID:     operatorapi.MemberID(f.id),
	}
	switch request.Action {
	case actionList:
		return operatorapi.MemberRequest{}, nil
	case operatorapi.MemberPromote, operatorapi.MemberRemove:
		if f.id == 0 {
			return request, cli.UsageError{Field: "id", Message: "must be the ID of a member, as list prints it"}
		}
		return request, nil
	case operatorapi.MemberAdd:
		request.Name, request.PeerAddress, request.FeedAddress, request.OperatorAddress = f.name, f.peer, f.feed, f.address
		return request, f.checkAdd()
	}
	return request, cli.UsageError{Field: "action", Message: "must be one of list, add, promote, remove, got " + action}
}

func (f *memberFlags) checkAdd() error {
	var faults settings.Faults
	add := func(field, message string) {
		faults = append(faults, api.FieldFault{Field: field, Message: message})
	}
	if f.id == 0 {
		add("id", "must be the new member's ID, as it logs it when it starts with join")
	}
	if !settings.ValidName(f.name) {
		add("name", "must be the new member's name")
	}
	for _, address := range []struct{ field, value string }{
		{"peer-address", f.peer}, {"feed-address", f.feed}, {"operator-address", f.address},
	} {
		if !settings.ValidAddress(address.value) {
			add(address.field, "must be an IP number and a port, got "+orNone(strings.TrimSpace(address.value)))
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func changeOrList(ctx context.Context, client *operator.Client, request operatorapi.MemberRequest) (operatorapi.MemberReply, error) {
	if request.Action == "" {
		status, err := client.Status(ctx)
		return operatorapi.MemberReply{Members: status.Members}, err
	}
	reply, err := client.ChangeMembers(ctx, request)
	if errors.Is(err, operator.ErrOutcomeUnknown) {
		return reply, errors.Wrap(err, "list the members before another try")
	}
	return reply, err
}

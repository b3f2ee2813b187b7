package main

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func getCommand(to cli.Streams) *ffcli.Command {
	flagSet := cli.NewFlagSet("get")
	flags := newOperatorFlags(flagSet, outputYAML)
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "landingtrail get [KIND [NAME]] [flags]",
		ShortHelp:  "Read objects; yaml output can be applied again",
		LongHelp: cli.ExampleHelp("landingtrail get engines --endpoints 127.0.0.1:7121",
			"landingtrail get intent narrator --endpoints 127.0.0.1:7121 --output yaml"),
		FlagSet: flagSet,
		Options: cli.Environment(environmentPrefix),
		Exec: func(ctx context.Context, args []string) error {
			return get(ctx, to, flags, args)
		},
	}
}

func get(ctx context.Context, to cli.Streams, flags *operatorFlags, args []string) error {
	kinds, name, err := parseGet(args)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	list, err := readObjects(ctx, client, kinds, name)
	if err != nil {
		return err
	}
	switch flags.output {
	case cli.OutputJSON:
		return cli.PrintJSON(to.Out, list)
	case outputYAML:
		return printYAML(to, list.Objects)
	}
	return printObjects(to, kinds, list.Objects)
}

func parseGet(args []string) ([]api.Kind, string, error) {
	switch len(args) {
	case 0:
		return api.Kinds, "", nil
	case 1:
		kind, err := parseKind(args[0])
		return []api.Kind{kind}, "", err
	case 2:
		key, err := parseKindAndName(args[0], args[1])
		return []api.Kind{key.Kind}, key.Name, err
	}
	return nil, "", cli.Exactly(args, "kind", "name")
}

func readObjects(ctx context.Context, client *operator.Client, kinds []api.Kind, name string) (operatorapi.ObjectList, error) {
	var all operatorapi.ObjectList
	for _, kind := range kinds {
		list, err := client.Objects(ctx, kind, name)
		if err != nil {
			return operatorapi.ObjectList{}, err
		}
		all.Term, all.Revision = list.Term, list.Revision
		all.Objects = append(all.Objects, list.Objects...)
	}
	return all, nil
}

// outputYAML is the form that apply reads.
const outputYAML = "yaml"

// objectFile is the form that files of objects have.
type objectFile struct {
	Objects []api.Object `yaml:"objects"`
}

func printYAML(to cli.Streams, objects []api.Object) error {
	text, err := yaml.Marshal(objectFile{Objects: objects})
	if err != nil {
		return errors.Wrap(err, "write result")
	}
	cli.Printf(to.Out, "%s", text)
	return nil
}

func printObjects(to cli.Streams, kinds []api.Kind, objects []api.Object) error {
	for _, kind := range kinds {
		var ofKind []api.Object
		for _, object := range objects {
			if key, ok := object.Key(); ok && key.Kind == kind {
				ofKind = append(ofKind, object)
			}
		}
		if len(ofKind) == 0 {
			continue
		}
		if err := printKind(to, kind, ofKind); err != nil {
			return err
		}
	}
	return nil
}

// columns holds the titles of each kind's own columns, between NAME and LABELS.
var columns = map[api.Kind][]string{
	api.KindIntent:  {"MODEL", "VERSION", "ROLES", "ENGINES", "ASSIGNED", "CHANGING"},
	api.KindEngine:  {"PHASE", "SERVING", "ZONE", "ADDRESS", "DRAIN"},
	api.KindService: {"TYPE", "BACKENDS", "LEAVING", "GONE"},
	api.KindClass:   {"SERVICE", "PRIORITY", "DEADLINE", "REPEAT-NEVER"},
	api.KindTenant:  {"WEIGHT", "TOKENS/S", "BURST"},

	api.KindQuarantine:  {"STATE", "SERVICE", "ROUTE", "REQUEST", "REPLICAS", "UNTIL"},
	api.KindRouteTenant: {"PRIORITY", "KEYS"},
	api.KindSuspect:     {"SERVICE", "ROUTE", "REQUEST", "REPLICA", "UNTIL"},
	api.KindCapacity:    {"FOUND", "LASTING", "WITHDRAWABLE", "REASON"},
}

func printKind(to cli.Streams, kind api.Kind, objects []api.Object) error {
	titles := append([]string{strings.ToUpper(string(kind)), "REVISION"}, columns[kind]...)
	printed := cli.NewTable(to.Out, append(titles, "LABELS")...)
	for _, object := range objects {
		metadata := object.Metadata()
		cells := append([]any{metadata.Name, metadata.Revision}, objectCells(object)...)
		printed.Row(append(cells, labelText(metadata.Labels))...)
	}
	return printed.Flush()
}

func objectCells(object api.Object) []any {
	switch {
	case object.Intent != nil:
		spec, status := object.Intent.Spec, object.Intent.Status
		return []any{spec.Model, spec.Version, rolesText(spec.Roles), status.Engines, status.Assigned, status.Changing}
	case object.Engine != nil:
		spec, status := object.Engine.Spec, object.Engine.Status
		return []any{phaseText(status.Phase), assignmentText(status.Assignment), spec.Zone, spec.Address, spec.Drain}
	case object.Service != nil:
		spec, status := object.Service.Spec, object.Service.Status
		return []any{spec.Type, len(spec.Backends), strings.Join(status.Leaving, ","), strings.Join(status.Gone, ",")}
	case object.Class != nil:
		spec := object.Class.Spec
		return []any{spec.Service, spec.Priority, fmt.Sprintf("%d ms", spec.DeadlineMilliseconds), spec.RepeatNever}
	case object.Quarantine != nil:
		spec := object.Quarantine.Spec
		return []any{spec.State, spec.Service, spec.Route, spec.Request, len(spec.Replicas), time.UnixMilli(spec.Until).UTC().Format(time.RFC3339)}
	case object.Suspect != nil:
		spec := object.Suspect.Spec
		return []any{spec.Service, spec.Route, spec.Request, spec.Replica, time.UnixMilli(spec.Until).UTC().Format(time.RFC3339)}
	case object.Capacity != nil:
		spec := object.Capacity.Spec
		return []any{spec.Found, spec.Lasting, spec.Withdrawable, spec.Reason}
	case object.RouteTenant != nil:
		spec := object.RouteTenant.Spec
		return []any{priorityText(spec.Priority), spec.Keys}
	case object.Tenant != nil:
		spec := object.Tenant.Spec
		return []any{spec.Weight, spec.TokensPerSecond, spec.Burst}
	}
	return nil // kinds without columns of their own
}

// priorityText names a tenant's rank; without one that of the routes holds.
func priorityText(priority *int) string {
	if priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*priority)
}

func rolesText(roles []api.EngineRole) string {
	var texts []string
	for _, role := range roles {
		texts = append(texts, string(role))
	}
	return strings.Join(texts, ",")
}

func phaseText(phase api.EnginePhase) string {
	if phase == api.PhaseUnknown {
		return "not heard from"
	}
	return string(phase)
}

// assignmentText is "model@version role", or "" when an engine serves nothing.
func assignmentText(assignment api.Assignment) string {
	if assignment.Model == "" {
		return ""
	}
	text := fmt.Sprintf("%s@%s %s", assignment.Model, assignment.Version, assignment.Role)
	if len(assignment.Adapters) > 0 {
		text += " +" + strings.Join(assignment.Adapters, "+")
	}
	return text
}

func labelText(labels api.Labels) string {
	var parts []string
	for key, value := range labels {
		parts = append(parts, key+"="+value)
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}

package main

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/process/settings"
)

// operatorFlags are common to the commands that ask the control group.
type operatorFlags struct {
	endpoints string
	timeout   time.Duration
	output    string
}

func newOperatorFlags(flagSet *flag.FlagSet, outputs ...string) *operatorFlags {
	flags := &operatorFlags{}
	flagSet.StringVar(&flags.endpoints, "endpoints", "", "operator addresses of the control members, separated by commas")
	cli.DurationFlag(flagSet, &flags.timeout, "timeout", operator.DefaultTimeout, "longest time for the whole command, with its resends")
	choices := append([]string{cli.OutputTable, cli.OutputJSON}, outputs...)
	cli.ChoiceFlag(flagSet, &flags.output, "output", "form of the result: "+strings.Join(choices, ", "), choices...)
	return flags
}

// client returns a client of the endpoints; a bad address is a usage error.
func (f *operatorFlags) client() (*operator.Client, error) {
	var members []string
	for _, address := range strings.Split(f.endpoints, ",") {
		address = strings.TrimSpace(address)
		if !settings.ValidAddress(address) {
			return nil, cli.UsageError{Field: "endpoints", Message: "must be IP numbers with ports separated by commas, such as 127.0.0.1:7121, got " + strconv.Quote(f.endpoints)}
		}
		members = append(members, address)
	}
	return operator.New(operator.Config{Members: members, Timeout: f.timeout})
}

package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2
)

// scenarios returns what the scripts play. Each returns whether the rule was broken and why.
var scenarios = map[string]func(w *world, options options) (broken string, err error){
	"four":    four,
	"twice":   twice,
	"stale":   stale,
	"foreign": foreign,
	"absent":  absent,
}

// errNotAcknowledged: the scenario needs an acknowledged configuration.
var errNotAcknowledged = errors.New("the first configuration was not acknowledged")

type options struct {
	trouble bool
	after   time.Duration
	how     string
	length  time.Duration
}

func main() {
	scenario := flag.String("scenario", "", "which one")
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "the record")
	keep := flag.Bool("keep", false, "keep the folder with logs")
	var o options
	flag.DurationVar(&o.after, "after", 0, "when the trouble comes")
	flag.StringVar(&o.how, "how", "", "its variant")
	flag.DurationVar(&o.length, "length", 40*time.Second, "how long it is played")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	play := scenarios[*scenario]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(*root, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.note("scenario %s, trouble %v, after %s %s", *scenario, o.trouble, o.after, o.how)
	broken, err := play(w, o)
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
	case broken != "":
		code = exitBroken
		w.note("broken: %s", broken)
		fmt.Println("broken:", broken)
	default:
		w.note("held")
		fmt.Println("held")
	}
	w.close(*keep)
	os.Exit(code)
}

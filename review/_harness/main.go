package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(w *world) (int, error){
	"founder":  founder,
	"absent":   absent,
	"departed": departed,
	"foreign":  foreign,
	"reborn":   reborn,
	"planned":  planned,
	"unframed": unframed,
	"takeup":   takeup,
	"memory":   memory,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, serveUnframed(os.Args[2], os.Args[3]))
		os.Exit(failed)
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE [TROUBLE=0] harness CASE")
		os.Exit(failed)
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](w)
	if err != nil {
		w.say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	w.close()
	os.Exit(code)
}

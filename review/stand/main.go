// Command stand plays one case of the review: it starts the hosts as separate processes, and the store, the backend servers
// and the clients as stand-ins within itself. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 it does the same without the trouble.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario plays one case and reports whether the rule was broken.
type scenario func(r *rig, trouble bool) (broken bool, err error)

// scenarios are the cases by name. The files of the cases add them.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, folder string) int {
	r, err := newRig(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer r.close()
	go r.abandon()
	broken, err := s(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	case broken:
		r.note("result: the rule was broken")
		return 1
	}
	r.note("result: the rule held")
	return 0
}

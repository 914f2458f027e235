package capacity

import (
	"fmt"
	"io"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// workspaceLimits are so high that no load run exceeds the rate of a workspace.
const workspaceLimits = "rate=2000000/s burst=400000000"

// writeWorkspaces writes the rules of workspaces with one key each. A version above 0 changes the key of one workspace.
func writeWorkspaces(w io.Writer, workspaces, version int) {
	for i := range workspaces {
		fmt.Fprintf(w, "workspace %s %s # ana: contract %d\n", workspaceName(i), workspaceLimits, i)
	}
	for i := range workspaces {
		seed := fmt.Sprint("key ", i)
		if version > 0 && i == version%workspaces {
			seed = fmt.Sprint("key ", i, " version ", version)
		}
		fmt.Fprintf(w, "key %s sha256=%x id=k1 # ana: first key of contract %d\n", workspaceName(i), rules.HashKey(seed), i)
	}
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i) }

// Command record writes the traces under testdata: the requests that loads with a
// fixed seed generate, the conditions of the targets, and the expected results. Run
// it in the directory of package pool.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"filbertmill.example/pool/internal/drive"
)

func main() {
	for _, tr := range traces() {
		if err := drive.Write(filepath.Join("testdata", tr.Name+".jsonl"), tr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

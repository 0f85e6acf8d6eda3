package check

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFiles(t *testing.T) {
	for _, test := range []struct {
		desc, src, want string
		code            int
	}{
		{"fleet", "[service a]\n", "FILE: no problem\n", ExitOK},
		{"node", "[drain]\ndelay = x\n[listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n" +
			"control = 127.0.0.1:0\n[node]\nname = n\navailability_zone = z\n[fleet]\nshared_key = 0123456789abcdef\n" +
			"[platform]\nconfig_file = f\n", "FILE:2: [drain] delay: \"x\" is not a duration such as 250ms or 10s\n", ExitProblem},
		{"neither", "{\"a\": 1}\n[b]\n", "FILE:1: the line is neither a section, a key with a value nor a comment\n" +
			"FILE:1: neither a node's settings nor a fleet configuration\nFILE:2: [b] unknown section\n", ExitProblem},
	} {
		t.Run(test.desc, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.ini")
			qt.Assert(t, os.WriteFile(file, []byte(test.src), 0o600), qt.IsNil)
			var out strings.Builder
			code := Files(&out, file)
			qt.Assert(t, strings.ReplaceAll(out.String(), file, "FILE"), qt.Equals, test.want)
			qt.Assert(t, code, qt.Equals, test.code)
		})
	}
}

func TestFilesMissing(t *testing.T) {
	var out strings.Builder
	code := Files(&out, filepath.Join(t.TempDir(), "absent.ini"))
	qt.Assert(t, out.String(), qt.Matches, `.*absent\.ini: can't be read: .*\n`)
	qt.Assert(t, code, qt.Equals, ExitProblem)
}

package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/filbertmill/internal/cluster"
)

// commandAsAnn runs the program with ann as the author of changes and returns its
// output, standard error included, and its exit code.
func commandAsAnn(c *qt.C, args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "FILBERTMILL_AUTHOR=ann")
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); !exited {
		c.Assert(err, qt.IsNil)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// TestConfigAndStatusCommands guards against commands that accept a change which the
// fleet must not take (without a reason, on an outdated base) or do not report what
// is in force. Each step is a command line, its exit code and a part of its output.
func TestConfigAndStatusCommands(t *testing.T) {
	c := qt.New(t)
	f := startCluster(c, cluster.Options{Nodes: 3, Services: 1, TargetsEach: 2})
	store, dir := f.Platform.URL(), c.TempDir()
	file := filepath.Join(dir, "fleet.ini")
	shown, code := commandAsAnn(c, "config", "show", "--store", store)
	c.Assert(code, qt.Equals, 0)
	edited := strings.Replace(shown, "[service service-0]\n", "[service service-0]\nqueue_limit = 300\n", 1)
	edited, _, _ = strings.Cut(edited, "[exception change]")
	c.Assert(os.WriteFile(file, []byte(edited), 0o600), qt.IsNil)
	withoutReason := filepath.Join(dir, "unreasoned.ini")
	c.Assert(os.WriteFile(withoutReason, []byte(edited+
		"[exception x]\nscope = service service-0\nkey = slots\nvalue = 3\nauthor = ann\n"), 0o600), qt.IsNil)

	steps := []struct {
		desc string
		args []string
		code int
		want string
	}{
		{"diff", []string{"config", "diff", "--store", store, file}, 0, "+ [service service-0] queue_limit = 300"},
		{"no reason", []string{"config", "apply", "--store", store, withoutReason}, 1, "reason"},
		{"apply", []string{"config", "apply", "--store", store, "--admin", f.Specs[0].Admin, "--note", "more room", file}, 0, "revision 2 "},
		{"apply on an old base", []string{"config", "apply", "--store", store, file}, 1, "  + [service service-0] queue_limit = 300"},
		{"history", []string{"config", "history", "--store", store}, 0, "more room"},
		{"rollback", []string{"config", "rollback", "--store", store, "1"}, 0, "revision 3 "},
		{"show an earlier one", []string{"config", "show", "--store", store, "--revision", "2"}, 0, "queue_limit = 300"},
		{"unknown revision", []string{"config", "rollback", "--store", store, "9"}, 1, "no such revision"},
		{"status", []string{"status", "--admin", f.Specs[1].Admin}, 0, "3 members, 0 lagging, 0 silent"},
	}
	r := cluster.Follow(limited(c), f.Specs)
	for _, step := range steps {
		if step.desc == "status" {
			awaitRevision(c, f, r, 3)
		}
		out, code := commandAsAnn(c, step.args...)
		c.Assert(code, qt.Equals, step.code, qt.Commentf("%s: %s", step.desc, out))
		c.Assert(out, qt.Contains, step.want, qt.Commentf(step.desc))
	}
}
